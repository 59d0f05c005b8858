/// Tests which daemon collects the notices of a data centre, and what happens when it crashes.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "base/metrics_registry.h"
#include "fake_caller_port.h"
#include "fake_clock.h"
#include "fake_random_source.h"
#include "fake_stream_origins.h"
#include "fake_upstream_calls.h"
#include "gateway/daemon_directory.h"
#include "gateway/gateway.h"
#include "gateway/notice_exchange.h"
#include "platform_dialect.h"
#include "recording_log.h"

namespace hawthorndrum {
namespace {

/** A daemon whose notices are passed to the others directly, without a socket. */
struct simulated_daemon {
  simulated_daemon(const std::string& name, const std::string& data_centre, const clock& time,
                   std::uint64_t number)
      : directory(name),
        served(Ports(name, data_centre, time, number)),
        exchange(served, directory, name, data_centre) {}

  gateway_ports Ports(const std::string& name, const std::string& data_centre, const clock& time,
                      std::uint64_t number) {
    gateway_ports ports;
    ports.callers = &callers;
    ports.upstreams = &upstreams;
    ports.dialect = &dialect;
    ports.time = &time;
    ports.random = &random;
    ports.log = &log;
    ports.metrics = &metrics;
    ports.origins = &origins;
    ports.host = name;
    ports.data_centre = data_centre;
    ports.incarnation = incarnation_id(number);
    return ports;
  }

  fake_caller_port callers;
  fake_upstream_calls upstreams;
  platform_dialect dialect;
  fake_random_source random;
  recording_log log;
  metrics_registry metrics;
  fake_stream_origins origins;
  daemon_directory directory;
  gateway served;
  notice_exchange exchange;
  bool alive = true;
  std::size_t sent = 0;
};

class ExchangeOfNoticesTest : public testing::Test {
 protected:
  void Build(int data_centres, int each) {
    std::vector<daemon_record> records;
    for (int dc = 0; dc < data_centres; ++dc) {
      for (int i = 0; i < each; ++i) {
        const std::string name = "dc" + std::to_string(dc) + "-" + std::to_string(10 + i);
        records.push_back({name, name, "dc" + std::to_string(dc)});
        daemons.push_back(std::make_unique<simulated_daemon>(name, records.back().data_centre, time,
                                                             daemons.size() + 1));
      }
    }
    for (auto& daemon : daemons) {
      daemon->directory.Replace(records);
      upstream_entry entry;
      entry.id = "e1";
      entry.service = "llm";
      engine = daemon->served.fleet().Put(entry).id;
    }
    this->records = records;
  }
  void Run(duration length) {
    for (duration passed{0}; passed < length; passed += milliseconds(10)) {
      time.Advance(milliseconds(10));
      for (auto& daemon : daemons) {
        if (!daemon->alive) continue;
        daemon->served.Run(time.Now());
        const auto out = daemon->exchange.Run(time.Now());
        if (!out) continue;
        daemon->sent += out->addresses.size();
        for (const std::string& address : out->addresses) Deliver(address, out->notice);
      }
    }
  }
  void Deliver(const std::string& address, const load_notice& notice) {
    const auto read = DecodeLoadNotice(EncodeLoadNotice(notice));
    ASSERT_TRUE(read);
    for (std::size_t i = 0; i < records.size(); ++i) {
      if (records[i].name == address && daemons[i]->alive) daemons[i]->served.OnNotice(*read);
    }
  }
  /** Makes every daemon run one request at the engine. */
  void Work() {
    for (auto& daemon : daemons) {
      fleet_upstream* row = daemon->served.fleet().Find(engine);
      row->own.running = 1;
      row->own.unread_tokens = 100;
    }
  }
  std::uint32_t SeenBy(std::size_t index) {
    return daemons[index]->served.fleet().Find(engine)->peers.running;
  }

  fake_clock time;
  std::vector<daemon_record> records;
  std::vector<std::unique_ptr<simulated_daemon>> daemons;
  upstream_id engine;
};

TEST_F(ExchangeOfNoticesTest, EveryDaemonSeesTheWorkOfAllOthers) {
  Build(3, 4);
  Work();
  Run(seconds(1));
  for (std::size_t i = 0; i < daemons.size(); ++i) EXPECT_EQ(SeenBy(i), 11u) << i;
}

TEST_F(ExchangeOfNoticesTest, DatagramsGrowWithTheDaemonsNotWithTheirSquare) {
  Build(3, 20);
  Work();
  Run(seconds(2));
  std::size_t sent = 0;
  for (const auto& daemon : daemons) sent += daemon->sent;
  // About 12 periods, each with 60 notices and 3 digests to 59 daemons.
  EXPECT_LT(sent, 12u * (60 + 3 * 59) * 2);
}

TEST_F(ExchangeOfNoticesTest, TheNextDaemonCollectsWhenTheCollectorDies) {
  Build(2, 4);
  Work();
  Run(seconds(1));
  daemons[0]->alive = false;
  Run(seconds(3));
  for (std::size_t i = 1; i < daemons.size(); ++i) EXPECT_EQ(SeenBy(i), 6u) << i;
}

TEST_F(ExchangeOfNoticesTest, AnAnnouncedChangeIsHeardInEveryDataCentreUntilItIsOver) {
  Build(3, 4);
  Work();
  Run(seconds(1));
  // The lease's holder is not the collector of its data centre.
  fleet_upstream* changing = daemons[6]->served.fleet().Find(engine);
  changing->changes_until = time.Now() + seconds(8);
  Run(milliseconds(400));
  for (int step = 0; step < 30; ++step) {
    Run(milliseconds(100));
    for (std::size_t i = 0; i < daemons.size(); ++i) {
      if (i == 6) continue;
      EXPECT_GT(daemons[i]->served.fleet().Find(engine)->avoid_until, time.Now()) << i;
    }
  }
}

}  // namespace
}  // namespace hawthorndrum
