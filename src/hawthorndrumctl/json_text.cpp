/// Formats JSON as indented text and tables.
#include "json_text.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <vector>

namespace hawthorndrum {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxCellWidth = 60;
constexpr int kJsonIndent = 2;

std::string Printable(std::string text) {
  text.erase(std::remove_if(text.begin(), text.end(),
                            [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 127; }),
             text.end());
  return text;
}

std::string CellText(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>()
                                       : value.dump(-1, ' ', false, json::error_handler_t::replace);
  text = Printable(std::move(text));
  if (text.size() > kMaxCellWidth) text = text.substr(0, kMaxCellWidth - 3) + "...";
  return text;
}

bool IsTable(const json& value) {
  const auto is_object = [](const json& item) { return item.is_object(); };
  return value.is_array() && !value.empty() && std::all_of(value.begin(), value.end(), is_object);
}

/** Columns that identify a row come first; the others follow in the order of their keys. */
constexpr std::array<const char*, 6> kIdentifyingColumns = {"generation", "time",    "address",
                                                            "engine",     "service", "key"};

std::vector<std::string> ColumnsOf(const json& rows) {
  std::vector<std::string> columns;
  for (const char* name : kIdentifyingColumns) {
    if (rows.front().contains(name)) columns.emplace_back(name);
  }
  for (const json& row : rows) {
    for (const auto& [key, value] : row.items()) {
      if (std::find(columns.begin(), columns.end(), key) == columns.end()) columns.push_back(key);
    }
  }
  return columns;
}

std::string TableText(const json& rows, const std::string& indent) {
  const std::vector<std::string> columns = ColumnsOf(rows);
  std::vector<std::vector<std::string>> cells{columns};
  for (const json& row : rows) {
    std::vector<std::string> line;
    line.reserve(columns.size());
    for (const std::string& column : columns) {
      line.push_back(row.contains(column) ? CellText(row[column]) : "-");
    }
    cells.push_back(std::move(line));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : cells) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  }
  std::string text;
  for (const auto& line : cells) {
    std::string row_text = indent;
    for (std::size_t i = 0; i < line.size(); ++i) {
      row_text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    row_text.erase(row_text.find_last_not_of(' ') + 1);
    text += row_text + "\n";
  }
  return text;
}

std::string ObjectText(const json& object, const std::string& indent) {
  std::string text;
  for (const auto& [key, value] : object.items()) {
    text += indent + Printable(key) + ":";
    if (IsTable(value)) {
      text += "\n" + TableText(value, indent + "  ");
    } else if (value.is_object() && !value.empty()) {
      text += "\n" + ObjectText(value, indent + "  ");
    } else {
      text += " " + CellText(value) + "\n";
    }
  }
  return text;
}

}  // namespace

std::string JsonAsText(const json& report) {
  if (IsTable(report)) return TableText(report, "");
  if (report.is_object()) return ObjectText(report, "");
  return CellText(report) + "\n";
}

std::string PrettyPrintJson(const json& report) {
  return report.dump(kJsonIndent, ' ', false, json::error_handler_t::replace) + "\n";
}

}  // namespace hawthorndrum
