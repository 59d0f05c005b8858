/// Starts, signals and observes a gateway process.
#include "gateway_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

extern char** environ;

namespace hawthorndrum {

using boost::asio::ip::tcp;

bool WaitFor(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

gateway_process::gateway_process(std::string program) : program_("build/" + std::move(program)) {
  std::string pattern = (std::filesystem::temp_directory_path() / "starting-XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
  settings_ = folder_ + "/settings.yaml";
  values_ = {{"host", "g1"}, {"data_centre", "north"}, {"store", "127.0.0.1:9"}};
  values_["stop_grace"] = "1s";
  // All ports are held until the last is chosen, so that none is chosen twice.
  boost::asio::io_context io;
  std::vector<tcp::acceptor> held;
  for (const char* key : {"callers", "readiness", "notices", "metrics"}) {
    held.emplace_back(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    values_[key] = "127.0.0.1:" + std::to_string(held.back().local_endpoint().port());
  }
}

gateway_process::~gateway_process() {
  if (running()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, &status_, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void gateway_process::WriteSettings(const std::map<std::string, std::string>& changes) {
  for (const auto& [key, value] : changes) values_[key] = value;
  // Another file at the same path, so that a process that has the former one open keeps it.
  {
    std::ofstream file(settings_ + ".new");
    for (const auto& [key, value] : values_) file << key << ": \"" << value << "\"\n";
  }
  std::filesystem::rename(settings_ + ".new", settings_);
}

void gateway_process::Start(int out) {
  const std::string log = folder_ + "/log";
  std::string words[] = {program_, "--settings", settings_};
  char* arguments[] = {words[0].data(), words[1].data(), words[2].data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  if (out < 0) {
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  } else {
    posix_spawn_file_actions_adddup2(&actions, out, 1);
  }
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  if (posix_spawn(&pid_, program_.c_str(), &actions, nullptr, arguments, environ) != 0) pid_ = -1;
  posix_spawn_file_actions_destroy(&actions);
}

void gateway_process::Signal(int signal) const {
  if (pid_ > 0) kill(pid_, signal);
}

bool gateway_process::running() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, &status_, WNOHANG) == 0) return true;
  pid_ = -1;
  return false;
}

int gateway_process::Wait() {
  constexpr int kStillRunning = 1000;
  if (!WaitFor([this] { return !running(); })) return kStillRunning;
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -WTERMSIG(status_);
}

tcp::endpoint gateway_process::Address(const std::string& key) const {
  const std::string& text = values_.at(key);
  const std::size_t colon = text.find(':');
  return {boost::asio::ip::make_address(text.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

bool gateway_process::serves() const {
  boost::asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code failed;
  socket.connect(Address("callers"), failed);
  if (failed) return false;
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request), failed);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), failed);
  return answer.rfind("HTTP/1.1 ", 0) == 0;
}

std::string gateway_process::log() const {
  std::ifstream file(folder_ + "/log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int gateway_process::open_files() const {
  std::error_code failed;
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid_) + "/fd", failed);
  return static_cast<int>(std::distance(begin(files), end(files)));
}

bool gateway_process::logged(const std::string& event) const {
  return log().find("\"event\":\"" + event + "\"") != std::string::npos;
}

}  // namespace hawthorndrum
