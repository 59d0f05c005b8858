/// Writes what the version that it is built with sends for each sample of a message into a folder.
#include <cstdint>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "message_samples.h"

namespace hawthorndrum {
namespace {

constexpr std::size_t kBytesInALine = 48;

std::string Hex(const std::vector<std::uint8_t>& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    text += kDigits[bytes[i] >> 4];
    text += kDigits[bytes[i] & 15];
    if ((i + 1) % kBytesInALine == 0) text += '\n';
  }
  if (bytes.size() % kBytesInALine != 0) text += '\n';
  return text;
}

bool WriteMessages(const std::string& folder) {
  const auto write = [&folder](const std::string& name, const std::string& text) {
    std::ofstream file(folder + "/" + name);
    file << text;
    return static_cast<bool>(file.flush());
  };
  for (const auto& [name, bytes] : message_samples::Datagrams())
    if (!write(name + ".hex", Hex(bytes))) return false;
  for (const auto& [name, text] : message_samples::Texts())
    if (!write(name, text)) return false;
  return true;
}

}  // namespace
}  // namespace hawthorndrum

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: write_messages FOLDER\n";
    return 2;
  }
  if (hawthorndrum::WriteMessages(argv[1])) return 0;
  std::cerr << "cannot write into " << argv[1] << '\n';
  return 1;
}
