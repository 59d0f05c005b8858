/// docs/OPERATIONS.md lists exactly the log events and fields that the gateway writes.
#include <dirent.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace hawthorndrum {
namespace {

std::string ReadAll(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

/** Returns the contents of all .cpp files in a folder, concatenated. */
std::string Sources(const std::string& folder) {
  std::string text;
  DIR* open = opendir(folder.c_str());
  EXPECT_NE(open, nullptr) << folder;
  if (open == nullptr) return text;
  for (const dirent* entry; (entry = readdir(open)) != nullptr;) {
    const std::string name = entry->d_name;
    if (name.size() > 4 && name.substr(name.size() - 4) == ".cpp") {
      text += ReadAll(folder + "/" + name);
    }
  }
  closedir(open);
  return text;
}

std::set<std::string> Matches(const std::string& text, const std::regex& pattern) {
  std::set<std::string> found;
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
    for (std::size_t group = 1; group < match->size(); ++group) {
      if ((*match)[group].matched) found.insert((*match)[group]);
    }
  }
  return found;
}

std::set<std::string> Difference(const std::set<std::string>& a, const std::set<std::string>& b) {
  std::set<std::string> difference;
  std::set_difference(a.begin(), a.end(), b.begin(), b.end(),
                      std::inserter(difference, difference.end()));
  return difference;
}

std::string Joined(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) text += name + " ";
  return text;
}

TEST(LogPages, OperationsPageHasEveryEventAndFieldAndNoOther) {
  std::string code = Sources("src/gatewayd") + Sources("platform");
  for (const char* part : {"gateway", "feed", "crashes", "resumes", "scaling", "usage", "duties",
                           "crossing", "flow"}) {
    code += Sources(std::string("src/libhawthorndrum/") + part);
  }
  std::set<std::string> written =
      Matches(code, std::regex("log_record\\([\\w.]*(?: \\? )?\"(\\w+)\"(?: : \"(\\w+)\")?\\)"));
  // Fields are chained calls on a log_record. Readers of settings have methods of the same names;
  // not_records excludes their keys.
  const std::set<std::string> fields =
      Matches(code, std::regex("\\)?\\s*\\.(?:Text|Number|Decimal|Flag)\\(\"(\\w+)\","));
  written.insert(fields.begin(), fields.end());

  const std::string page = ReadAll("docs/OPERATIONS.md");
  const std::size_t begin = page.find("## Lines");
  const std::string table = page.substr(begin, page.find("## Metrics") - begin);
  std::set<std::string> documented;
  std::istringstream lines(table);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind("| `", 0) != 0) continue;
    const auto names = Matches(line, std::regex("`(\\w+)`"));
    documented.insert(names.begin(), names.end());
  }
  const std::set<std::string> not_records = {"host",
                                             "data_centre",
                                             "ratio",
                                             "calls_per_second",
                                             "take",
                                             "reserve",
                                             "value",
                                             "change_price",
                                             "initial_prefill_share",
                                             "max_prefill_share",
                                             "ms_per_megabyte",
                                             "ms_per_kv_gigabyte"};
  EXPECT_EQ(Joined(Difference(Difference(written, documented), not_records)), "");
  EXPECT_EQ(Joined(Difference(Difference(documented, written), {"after_ms", "in_ms"})), "");
}

}  // namespace
}  // namespace hawthorndrum
