/// Sends teams' rates while room is short.
#include "teams/share_exchange.h"

#include <algorithm>

#include "teams/team_shares.h"

namespace hawthorndrum {

std::optional<share_message> share_exchange::Run(std::size_t others, time_point now) {
  if (now < next_) return std::nullopt;
  const duration period =
      std::max<duration>(kMinPeriod, kPeriodPerDaemon * static_cast<std::int64_t>(others));
  next_ = now + period;
  share_message report{self_, shares_.Report(now)};
  if (others == 0 || report.rates.empty() || !shares_.WasShort(now)) return std::nullopt;
  return report;
}

void share_exchange::OnMessage(const share_message& message, time_point now) {
  if (message.sender == self_) return;
  shares_.OnReport(message.sender, message.rates, now);
}

}  // namespace hawthorndrum
