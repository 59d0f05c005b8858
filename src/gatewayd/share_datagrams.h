/// Sends and receives reports of teams' rates as datagrams.
#pragma once

#include <string>

#include "datagram_handler.h"
#include "gateway/daemon_directory.h"
#include "notice_socket.h"
#include "ports/clock.h"
#include "systems/system.h"
#include "teams/share_exchange.h"

namespace hawthorndrum {

class share_datagrams : public datagram_handler, public system {
 public:
  share_datagrams(notice_socket& socket, const daemon_directory& daemons, const clock& time,
                  team_shares& shares, incarnation_id self)
      : socket_(socket), daemons_(daemons), time_(time), exchange_(shares, self) {
    socket_.Add(*this);
  }

  bool OnDatagram(boost::span<const std::uint8_t> bytes, const std::string&) override {
    const auto message = DecodeShareMessage(bytes);
    if (message) exchange_.OnMessage(*message, time_.Now());
    return message.has_value();
  }
  void Run(time_point now) override {
    const auto report = exchange_.Run(daemons_.others().size(), now);
    if (!report) return;
    const auto bytes = EncodeShareMessage(*report);
    for (const daemon_record& each : daemons_.others()) socket_.SendTo(each.notices_address, bytes);
  }

 private:
  notice_socket& socket_;
  const daemon_directory& daemons_;
  const clock& time_;
  share_exchange exchange_;
};

}  // namespace hawthorndrum
