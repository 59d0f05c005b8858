/// An object store stand-in and an admin port on their own thread, for tests of the command line.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "admin_endpoint.h"
#include "command_line.h"
#include "fake_random_source.h"
#include "http_server.h"
#include "ports/admin_section.h"
#include "store_standin.h"

namespace hawthorndrum {

/** A section that shows a fixed report and records the last verb called on it. */
class fixed_section : public admin_section {
 public:
  fixed_section(std::string name, nlohmann::json report)
      : name_(std::move(name)), report_(std::move(report)) {}

  std::string_view name() const override { return name_; }

  expected<nlohmann::json> Report(std::string_view item) const override {
    if (item.empty()) return report_;
    if (item == "known") return nlohmann::json{{"item", "known"}};
    return tl::make_unexpected(error{error_code::kNotFound, "no such item"});
  }

  expected<nlohmann::json> Act(std::string_view verb, const nlohmann::json& arguments) override {
    last_command = std::string(verb) + " " + arguments.dump();
    return nlohmann::json{{"accepted", true}};
  }

  /** May be read only while no call is in progress. */
  std::string last_command;

 private:
  std::string name_;
  nlohmann::json report_;
};

/** The output and the exit code of a command line. */
struct command_outcome {
  exit_code code = exit_code::kDone;
  std::string out;
  std::string err;
};

/**
 * The servers that a command line talks to: an object store and a daemon's admin port. While its
 * thread runs, only that thread accesses its members.
 */
class platform {
 public:
  static constexpr const char* kToken = "token-of-the-operators";

  platform()
      : store_(io_),
        endpoint_(kToken, metrics_),
        server_(io_, endpoint_, random_, metrics_, "admin", http_limits{}),
        config_("config", {{"generation", 7},
                           {"lowest", 6},
                           {"published", {{"publish_id", 77}}},
                           {"services", 3},
                           {"data_centres",
                            {{{"data_centre", "dc0"},
                              {"daemons", 4},
                              {"lowest", 6},
                              {"lagging", {{{"address", "10.0.0.3:8002"}, {"generation", 6}}}}}}}}),
        orders_("orders", {{"changes", nlohmann::json::array()}, {"acts_here", true}}),
        upstreams_("upstreams",
                   {{"upstreams", {{{"address", "10.0.0.9:80"}, {"role", "mixed"}}}}}) {
    endpoint_.SetCallerPort(server_);
    for (fixed_section* section : {&config_, &orders_, &upstreams_}) endpoint_.Add(*section);
    store_port_ = store_.Listen("127.0.0.1:0").value();
    admin_port_ = server_.Listen("127.0.0.1:0").value();
    thread_ = std::thread([this] { io_.run(); });
  }

  ~platform() {
    io_.stop();
    thread_.join();
  }
  platform(const platform&) = delete;
  platform& operator=(const platform&) = delete;

  std::string store() const { return "127.0.0.1:" + std::to_string(store_port_); }
  std::string admin() const { return "127.0.0.1:" + std::to_string(admin_port_); }

  /** Sets the store's faults, on the servers' thread. */
  void SetFaults(const fault_settings& faults) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      store_.SetFaults(faults);
      done.set_value();
    });
    done.get_future().wait();
  }

  /** The last verb called on the section, with its arguments. */
  std::string LastCommand(const std::string& name) {
    std::promise<std::string> last;
    boost::asio::post(io_, [&] {
      last.set_value(name == "orders" ? orders_.last_command : upstreams_.last_command);
    });
    return last.get_future().get();
  }

  /** Runs a command line with --store (WithStore) or --admin (WithAdmin) appended. */
  command_outcome WithStore(std::vector<std::string> words) const {
    words.insert(words.end(), {"--store", store()});
    return Run(words);
  }
  command_outcome WithAdmin(std::vector<std::string> words) const {
    words.insert(words.end(), {"--admin", admin()});
    return Run(words);
  }

  static command_outcome Run(const std::vector<std::string>& words) {
    std::ostringstream out;
    std::ostringstream err;
    command_outcome outcome;
    outcome.code = RunCommandLine(words, {out, err});
    outcome.out = out.str();
    outcome.err = err.str();
    return outcome;
  }

 private:
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_guard_{
      io_.get_executor()};
  metrics_registry metrics_;
  fake_random_source random_;
  store_standin store_;
  admin_endpoint endpoint_;
  http_server server_;
  fixed_section config_;
  fixed_section orders_;
  fixed_section upstreams_;
  std::uint16_t store_port_ = 0;
  std::uint16_t admin_port_ = 0;
  std::thread thread_;
};

}  // namespace hawthorndrum
