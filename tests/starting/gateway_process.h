/// A gateway as a process of its own, with a settings file that may be a named pipe.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace hawthorndrum {

/** Polls until the condition holds; false after 30 s. */
bool WaitFor(const std::function<bool()>& holds);

/** The destructor kills the process and removes its folder. */
class gateway_process {
 public:
  explicit gateway_process(std::string program = "hawthorndrum-gateway");
  ~gateway_process();
  gateway_process(const gateway_process&) = delete;
  gateway_process& operator=(const gateway_process&) = delete;

  /** Writes the settings as the file; `changes` replace or add keys. */
  void WriteSettings(const std::map<std::string, std::string>& changes = {});
  /** Replaces all keys, for a program with other settings. */
  void UseSettings(std::map<std::string, std::string> values) { values_ = std::move(values); }
  /** An `ip:port` that was free. */
  const std::string& FreeAddress(const std::string& key) const { return values_.at(key); }
  /** Starts the program; its output goes to `out`, else to the log. */
  void Start(int out = -1);
  void Signal(int signal) const;
  bool running();
  /** Waits for the end; returns the exit code, or minus the signal that ended the process. */
  int Wait();
  /** Whether a caller gets an answer. */
  bool serves() const;
  std::string log() const;
  /** Whether the log has a line of the event. */
  bool logged(const std::string& event) const;
  /** The number of its open files and sockets. */
  int open_files() const;
  /** An address of this test: callers, readiness, notices or metrics. */
  boost::asio::ip::tcp::endpoint Address(const std::string& key) const;
  const std::string& settings() const { return settings_; }

 private:
  std::string program_;
  std::string folder_;
  std::string settings_;
  std::map<std::string, std::string> values_;
  pid_t pid_ = -1;
  int status_ = 0;
};

}  // namespace hawthorndrum
