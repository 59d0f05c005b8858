/// Searches folders for service files and reads them.
#include "service_folders.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "base/yaml_parser.h"

namespace hawthorndrum {
namespace {

namespace fs = std::filesystem;

/** The service files below the folder, sorted; adds a finding if the folder can't be read. */
std::vector<std::string> FilesBelow(const std::string& folder, findings& found) {
  std::vector<std::string> files;
  std::error_code problem;
  fs::recursive_directory_iterator walk(folder, problem);
  for (; !problem && walk != fs::recursive_directory_iterator(); walk.increment(problem)) {
    if (walk->path().filename() == kServiceFileName) files.push_back(walk->path().string());
  }
  if (problem) found.Add(source_location{folder, 1, 1}, problem.message());
  std::sort(files.begin(), files.end());
  return files;
}

std::vector<std::string> FilesAt(const std::vector<std::string>& paths, findings& found) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    std::error_code problem;
    if (!fs::exists(path, problem)) {
      found.Add(source_location{path, 1, 1}, "no such file or folder");
      continue;
    }
    if (!fs::is_directory(path, problem)) {
      files.push_back(path);
      continue;
    }
    const std::vector<std::string> below = FilesBelow(path, found);
    if (below.empty())
      found.Add(source_location{path, 1, 1}, std::string("contains no ") + kServiceFileName);
    files.insert(files.end(), below.begin(), below.end());
  }
  return files;
}

/** Reads at most one byte more than a service file may have, so that the reader can reject it. */
bool ReadBounded(const std::string& path, std::string& text) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) return false;
  text.resize(kMaxYamlBytes + 1);
  stream.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(stream.gcount()));
  return !stream.bad();
}

}  // namespace

std::vector<service_definition> CollectServices(const std::vector<std::string>& paths,
                                                findings& found) {
  std::vector<service_definition> services;
  for (const std::string& file : FilesAt(paths, found)) {
    std::string text;
    if (!ReadBounded(file, text)) {
      found.Add(source_location{file, 1, 1}, "can't be read");
      continue;
    }
    std::vector<service_definition> read = ReadServiceFile(file, text, found);
    services.insert(services.end(), std::make_move_iterator(read.begin()),
                    std::make_move_iterator(read.end()));
  }
  CheckDuplicateServices(services, found);
  return services;
}

}  // namespace hawthorndrum
