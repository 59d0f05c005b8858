/// Tests the memory of a real gateway whose callers send most of a large body and then stop.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace hawthorndrum {
namespace {

constexpr std::size_t kMemoryMiB = 260;
constexpr std::size_t kBodyBytes = 1'000'000;
constexpr std::size_t kSentBytes = 990'000;
constexpr auto kPatience = std::chrono::seconds(20);

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/** Returns ports of which none was in use, the same for TCP and UDP. */
std::vector<std::uint16_t> FreePorts(std::size_t count) {
  std::vector<std::uint16_t> ports;
  std::vector<int> held;
  for (std::size_t i = 0; i < count; ++i) {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t size = sizeof(address);
    held.push_back(socket(AF_INET, SOCK_STREAM, 0));
    bind(held.back(), reinterpret_cast<sockaddr*>(&address), size);
    getsockname(held.back(), reinterpret_cast<sockaddr*>(&address), &size);
    ports.push_back(ntohs(address.sin_port));
  }
  for (const int each : held) close(each);
  return ports;
}

/** A connection that sends its bytes as far as the other side takes them. */
struct upload {
  int socket = -1;
  std::string bytes;
  std::size_t sent = 0;
  bool failed = false;
  std::string answer;

  bool HasEnded() const { return failed || sent == bytes.size() || !answer.empty(); }
  void Advance() {
    if (!HasEnded()) {
      const ssize_t size = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (size > 0) sent += static_cast<std::size_t>(size);
      if (size < 0 && errno != EAGAIN) failed = true;
    }
    char read[4096];
    const ssize_t size = recv(socket, read, sizeof(read), 0);
    if (size > 0) answer.append(read, static_cast<std::size_t>(size));
    if (size == 0) failed = true;
  }
};

class StalledUploadsTest : public testing::TestWithParam<std::size_t> {
 protected:
  StalledUploadsTest() : ports(FreePorts(4)) {
    const std::string settings = testing::TempDir() + "stalled_uploads_" +
                                 std::to_string(getpid()) + "_" + std::to_string(GetParam());
    std::ofstream file(settings);
    const auto at = [&](std::size_t i) { return "127.0.0.1:" + std::to_string(ports[i]) + "\n"; };
    file << "host: h\ndata_centre: d\ncallers: " << at(0) << "readiness: " << at(1)
         << "notices: " << at(2) << "store: " << at(3) << "file_limit: 4096\nmemory: " << kMemoryMiB
         << "MiB\n";
    file.close();
    std::string program = "build/hawthorndrum-gateway";
    std::string flag = "--settings";
    std::string path = settings;
    char* arguments[] = {program.data(), flag.data(), path.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, "/dev/null", O_WRONLY, 0);
    posix_spawn(&pid, arguments[0], &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
  }
  ~StalledUploadsTest() override {
    for (const upload& each : uploads) close(each.socket);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }

  bool Wait(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!done() && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return done();
  }
  upload Open(std::string bytes) {
    upload opened;
    opened.bytes = std::move(bytes);
    const sockaddr_in address = LoopbackAddress(ports[0]);
    const bool connected = Wait([&] {
      opened.socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (connect(opened.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return true;
      close(opened.socket);
      return false;
    });
    EXPECT_TRUE(connected);
    fcntl(opened.socket, F_SETFL, O_NONBLOCK);
    return opened;
  }
  /** The largest resident size that the process has had. */
  std::size_t PeakBytes() const {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;) {
      std::size_t kibibytes = 0;
      if (word == "VmHWM:" && status >> kibibytes) return kibibytes * 1024;
    }
    return 0;
  }

  /** Whether the kernel holds bytes of a connection with the process, sent and not yet read. */
  bool HasUnreadBytes() const {
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
      unsigned local = 0;
      unsigned remote = 0;
      unsigned unsent = 0;
      unsigned unread = 0;
      std::sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%4x %*2x %8x:%8x", &local, &remote, &unsent,
                  &unread);
      const bool is_ours = local == ports[0] || remote == ports[0];
      if (is_ours && unsent + unread > 0) return true;
    }
    return false;
  }

  std::vector<std::uint16_t> ports;
  pid_t pid = -1;
  std::vector<upload> uploads;
};

// Guards against bodies that are still being read and count toward no limit.
TEST_P(StalledUploadsTest, TheProcessStaysWithinItsMemoryAndServesOthers) {
  const std::string head =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n";
  uploads.reserve(GetParam());
  for (std::size_t i = 0; i < GetParam(); ++i)
    uploads.push_back(Open(head + std::string(kSentBytes, 'x')));
  EXPECT_TRUE(Wait([&] {
    bool ended = true;
    for (upload& each : uploads) {
      each.Advance();
      ended = ended && each.HasEnded();
    }
    return ended && !HasUnreadBytes();
  }));
  const std::size_t peak = PeakBytes();
  EXPECT_GT(peak, 0u);
  EXPECT_LT(peak, kMemoryMiB << 20) << "resident bytes, at most";
  std::size_t unanswered = 0;
  for (const upload& each : uploads) {
    if (each.answer.empty()) {
      ++unanswered;
      EXPECT_FALSE(each.failed) << "a connection was closed without an answer";
      continue;
    }
    EXPECT_EQ(each.answer.rfind("HTTP/1.1 503", 0), 0u) << each.answer;
    for (const char* part : {"Retry-After: ", "Connection: close", "\"outcome\":\"not_run\""})
      EXPECT_NE(each.answer.find(part), std::string::npos) << part;
  }
  EXPECT_GT(unanswered, 0u) << "a third of the memory may be held";
  upload small = Open("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Wait([&] {
    small.Advance();
    return !small.answer.empty();
  }));
  EXPECT_NE(small.answer.find("not_started"), std::string::npos) << small.answer;
  close(small.socket);
  RecordProperty("peak_bytes", std::to_string(peak));
  RecordProperty("unanswered", std::to_string(unanswered));
}

INSTANTIATE_TEST_SUITE_P(Uploads, StalledUploadsTest, testing::Values(400, 800));

}  // namespace
}  // namespace hawthorndrum
