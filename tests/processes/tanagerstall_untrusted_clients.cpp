// A crowd of clients that send what no sound client sends. Usage:
// tanagerstall_untrusted_clients ROW HOST PORT CONNECTIONS BODY_BYTES. Prints a
// line with what became of the connections once none of them makes progress,
// and keeps them open until the end of standard input.
#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <iostream>
#include <limits>
#include <map>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

/// What a client of an endless row sends at most.
constexpr std::size_t kMaxSent = 8UL << 20U;
constexpr std::size_t kLargeChunk = 64UL << 10U;
/// A crowd without progress for this long has come to its end.
constexpr std::chrono::milliseconds kQuiet{ 2500 };
/// One byte of a slow head per interval, this many times.
constexpr std::chrono::seconds kSlowInterval{ 1 };
constexpr int kSlowBytes = 6;

struct Row
{
  /// Sent once, then `part_` again and again until `total_` bytes, then
  /// `end_`.
  std::string begin_;
  std::string part_;
  std::size_t total_ = 0;
  std::string end_;
  bool reads_ = true;
  bool isSlow_ = false;
};

std::string
ChunkOf(std::size_t aBytes)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes);
  return size + std::string(aBytes, 'x') + "\r\n";
}

std::string
Repeated(std::string_view aText, std::size_t aTimes)
{
  std::string all;
  for (std::size_t i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

Row
MakeRow(const std::string& aName, std::size_t aBody, std::size_t aIndex)
{
  const std::string head = "POST /a/x HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string get = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string tiny = Repeated(ChunkOf(1), 1024);
  if (aName == "trailers") {
    return { chunked + ChunkOf(1) + "0\r\n",
             "X: " + std::string(1000, 'x') + "\r\n",
             kMaxSent,
             "" };
  }
  if (aName == "large-chunks") {
    return { chunked, ChunkOf(kLargeChunk), aBody, "0\r\n\r\n" };
  }
  if (aName == "one-byte-chunks") {
    return { chunked, tiny, aBody * ChunkOf(1).size(), "0\r\n\r\n" };
  }
  if (aName == "stopping-short") {
    // One in ten comes to its end.
    return { chunked,
             ChunkOf(kLargeChunk),
             aBody - kLargeChunk,
             aIndex % 10 == 0 ? "0\r\n\r\n" : "2\r\nx" };
  }
  if (aName == "declared-over") {
    return { head + "Content-Length: 104857600\r\n\r\n",
             std::string(kLargeChunk, 'x'),
             kMaxSent,
             "" };
  }
  if (aName == "undeclared-over") {
    return { chunked, ChunkOf(kLargeChunk), kMaxSent, "" };
  }
  if (aName == "endless-heads") {
    Row row{ "GET / HTTP/1.1\r\nX: ", "x", kSlowBytes, "" };
    row.isSlow_ = true;
    return row;
  }
  if (aName == "extensions") {
    return { chunked + "1;", std::string(1000, 'x'), kMaxSent, "" };
  }
  if (aName == "pipelined") {
    Row row{ "", Repeated(get, 100), kMaxSent, "" };
    row.reads_ = false;
    return row;
  }
  if (aName == "unread-response") {
    Row row{ head + "Content-Length: " + std::to_string(aBody) + "\r\n\r\n",
             std::string(kLargeChunk, 'x'),
             aBody,
             "" };
    row.reads_ = false;
    return row;
  }
  std::cerr << "no such row: " << aName << "\n";
  std::exit(2);
}

class Client
{
public:
  Client(const sockaddr_in& aAddress, Row aRow)
    : row_(std::move(aRow))
    , pending_(row_.begin_)
    , socket_(::socket(AF_INET, SOCK_STREAM, 0))
  {
    const auto* generic = reinterpret_cast<const sockaddr*>(&aAddress);
    isOpen_ = ::connect(socket_, generic, sizeof(aAddress)) == 0;
    int flags = ::fcntl(socket_, F_GETFL);         // NOLINT
    ::fcntl(socket_, F_SETFL, flags | O_NONBLOCK); // NOLINT
  }

  bool IsOpen() const { return isOpen_; }
  std::size_t Sent() const { return sent_; }
  const std::string& Status() const { return status_; }

  pollfd Wanted()
  {
    Refill();
    short events = 0;
    if (row_.reads_) {
      events |= POLLIN;
    }
    if (!pending_.empty()) {
      events |= POLLOUT;
    }
    return { isOpen_ ? socket_ : -1, events, 0 };
  }

  /// Returns whether anything was sent or received.
  bool Advance(short aEvents)
  {
    if ((aEvents & (POLLERR | POLLHUP | POLLNVAL)) != 0 && !row_.reads_) {
      isOpen_ = false;
      return true;
    }
    bool hasMoved = false;
    if ((aEvents & (POLLIN | POLLHUP | POLLERR)) != 0) {
      hasMoved = Receive();
    }
    if (isOpen_ && (aEvents & POLLOUT) != 0) {
      hasMoved = Send() || hasMoved;
    }
    return hasMoved;
  }

  /// Whether this client still means to send.
  bool IsWaiting() const { return isOpen_ && row_.isSlow_ && !isEnded_; }

private:
  void Refill()
  {
    if (!pending_.empty() || isEnded_) {
      return;
    }
    if (repeated_ < row_.total_) {
      if (row_.isSlow_ && Clock::now() < nextAt_) {
        return;
      }
      nextAt_ = Clock::now() + kSlowInterval;
      pending_ = row_.part_;
      repeated_ += pending_.size();
      return;
    }
    pending_ = row_.end_;
    isEnded_ = true;
  }

  bool Receive()
  {
    char buffer[4096];
    auto count = ::recv(socket_, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      isOpen_ = false;
      return true;
    }
    std::string_view text(buffer, static_cast<std::size_t>(count));
    if (status_.empty() && text.size() >= 12) {
      status_ = text.substr(9, 3);
    }
    return true;
  }

  bool Send()
  {
    auto count =
      ::send(socket_, pending_.data(), pending_.size(), MSG_NOSIGNAL);
    if (count < 0) {
      // The answer to a refused request may still be there to be read.
      pending_.clear();
      isEnded_ = true;
      return true;
    }
    sent_ += static_cast<std::size_t>(count);
    pending_.erase(0, static_cast<std::size_t>(count));
    return count > 0;
  }

  Row row_;
  std::string pending_;
  int socket_;
  bool isOpen_ = false;
  bool isEnded_ = false;
  std::size_t repeated_ = 0;
  std::size_t sent_ = 0;
  Clock::time_point nextAt_;
  std::string status_;
};

void
RunCrowd(std::vector<Client>& aCrowd)
{
  auto movedAt = Clock::now();
  while (Clock::now() < movedAt + kQuiet) {
    std::vector<pollfd> wanted;
    wanted.reserve(aCrowd.size());
    for (auto& client : aCrowd) {
      wanted.push_back(client.Wanted());
    }
    ::poll(wanted.data(), wanted.size(), 100);
    for (std::size_t i = 0; i < aCrowd.size(); ++i) {
      bool hasMoved = wanted[i].fd >= 0 && wanted[i].revents != 0 &&
                      aCrowd[i].Advance(wanted[i].revents);
      if (hasMoved || aCrowd[i].IsWaiting()) {
        movedAt = Clock::now();
      }
    }
  }
}

void
Report(const std::string& aRow, const std::vector<Client>& aCrowd)
{
  std::size_t sent = 0;
  std::size_t open = 0;
  std::map<std::string, int> statuses;
  for (const auto& client : aCrowd) {
    sent += client.Sent();
    open += client.IsOpen() ? 1 : 0;
    ++statuses[client.Status().empty() ? "none" : client.Status()];
  }
  std::cout << aRow << ": " << aCrowd.size() << " clients sent "
            << (sent >> 10U) << " kB, " << open << " open, statuses";
  for (const auto& [status, count] : statuses) {
    std::cout << " " << status << "x" << count;
  }
  std::cout << std::endl;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  if (arguments.size() != 5) {
    std::cerr << "usage: ROW HOST PORT CONNECTIONS BODY_BYTES\n";
    return 2;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoul(arguments[2])));
  ::inet_pton(AF_INET, arguments[1].c_str(), &address.sin_addr);
  std::vector<Client> crowd;
  std::size_t count = std::stoul(arguments[3]);
  for (std::size_t i = 0; i < count; ++i) {
    crowd.emplace_back(address,
                       MakeRow(arguments[0], std::stoul(arguments[4]), i));
  }
  RunCrowd(crowd);
  Report(arguments[0], crowd);
  std::cin.ignore(std::numeric_limits<std::streamsize>::max());
  return 0;
}
