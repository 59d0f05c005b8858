/// Entry point of hawthorndrumctl.
#include <iostream>

#include "command_line.h"

int main(int count, char** words) {
  const std::vector<std::string> arguments(words + 1, words + count);
  return static_cast<int>(hawthorndrum::RunCommandLine(arguments, {std::cout, std::cerr}));
}
