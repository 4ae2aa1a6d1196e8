// What the cases of the third review share: settings files and processes of a
// small deployment on loopback addresses, a replica and a client that write raw
// HTTP/1.1, and a record of what was sent, answered and run.
#ifndef REVIEW_HARNESS_3_STAND_HPP_INCLUDED
#define REVIEW_HARNESS_3_STAND_HPP_INCLUDED

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void
SleepMs(int aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

/// Exit statuses of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// The file record.txt of the case, with the time since the start.
class Record
{
public:
  explicit Record(const std::filesystem::path& aFolder)
    : file_(std::fopen((aFolder / "record.txt").c_str(), "w"))
  {
  }
  ~Record()
  {
    if (file_ != nullptr) {
      std::fclose(file_);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText)
  {
    std::scoped_lock lock(mutex_);
    auto ms =
      std::chrono::duration_cast<Ms>(Clock::now() - start_).count();
    std::fprintf(file_, "%8.3f  %s\n", static_cast<double>(ms) / 1000.0,
                 aText.c_str());
    std::fflush(file_);
  }

private:
  std::FILE* file_;
  std::mutex mutex_;
  Clock::time_point start_ = Clock::now();
};

/// A text on one line, for the record.
inline std::string
OneLine(const std::string& aText, std::size_t aMost = 300)
{
  std::string line;
  for (char c : aText.substr(0, aMost)) {
    if (c == '\r') {
      line += "\\r";
    } else if (c == '\n') {
      line += "\\n";
    } else {
      line += c;
    }
  }
  return line + (aText.size() > aMost ? "..." : "");
}

inline sockaddr_in
ToSocketAddress(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

inline bool
IsFree(const std::string& aHost, int aPort)
{
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = ToSocketAddress(aHost, aPort);
  bool isFree =
    ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  ::close(fd);
  return isFree;
}

/// A TCP connection with blocking calls and a time limit for each read.
class Connection
{
public:
  explicit Connection(int aFd)
    : fd_(aFd)
  {
    int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> To(const std::string& aHost, int aPort)
  {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = ToSocketAddress(aHost, aPort);
    if (::connect(
          fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  void Close()
  {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }

  bool Write(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      auto count = ::send(
        fd_, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads more into the buffer. False at the end, after an error or after
  /// `aWithinMs`.
  bool ReadMore(int aWithinMs)
  {
    timeval limit{ aWithinMs / 1000, (aWithinMs % 1000) * 1000 };
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    char bytes[65536];
    auto count = ::recv(fd_, bytes, sizeof(bytes), 0);
    isEnded_ = count == 0 || (count < 0 && errno != EAGAIN);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  bool IsEnded() const { return isEnded_; }
  std::string& Buffer() { return buffer_; }

private:
  int fd_;
  bool isEnded_ = false;
  std::string buffer_;
};

/// A message of HTTP/1.1 with a body of a declared length, or none.
struct Message
{
  std::string firstLine_;
  /// In the order of the message; names in small letters.
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;

  std::string Field(const std::string& aName) const
  {
    for (const auto& [name, value] : fields_) {
      if (name == aName) {
        return value;
      }
    }
    return "";
  }

  /// All lines of a field, joined as RFC 9110, section 5.3 allows.
  std::string Joined(const std::string& aName) const
  {
    std::string all;
    for (const auto& [name, value] : fields_) {
      if (name == aName) {
        all += (all.empty() ? "" : ",") + value;
      }
    }
    return all;
  }

  int Status() const
  {
    return firstLine_.size() > 12 ? std::atoi(firstLine_.c_str() + 9) : 0;
  }
};

/// Reads a message. `aHasBody` is false for an answer to HEAD. Returns nothing
/// if the connection ends or is silent for `aWithinMs` before it is whole.
inline std::optional<Message>
ReadMessage(Connection& aFrom, int aWithinMs, bool aHasBody = true)
{
  std::string& buffer = aFrom.Buffer();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!aFrom.ReadMore(aWithinMs)) {
      return std::nullopt;
    }
  }
  Message message;
  std::istringstream head(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    if (message.firstLine_.empty()) {
      message.firstLine_ = line;
      continue;
    }
    auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    for (char& c : name) {
      c = static_cast<char>(std::tolower(c));
    }
    auto begin = line.find_first_not_of(' ', colon + 1);
    message.fields_.emplace_back(
      name, begin == std::string::npos ? "" : line.substr(begin));
  }
  std::size_t length =
    aHasBody ? std::strtoul(message.Field("content-length").c_str(), nullptr, 10)
             : 0;
  while (buffer.size() < length) {
    if (!aFrom.ReadMore(aWithinMs)) {
      return std::nullopt;
    }
  }
  message.body_ = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

/// A replica: answers each request with what its handler returns.
class Replica
{
public:
  using Handler = std::function<std::string(const Message&)>;

  Replica(std::string aId, std::string aHost, Handler aHandler)
    : id_(std::move(aId))
    , host_(std::move(aHost))
    , handler_(std::move(aHandler))
  {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = ToSocketAddress(host_, 0);
    if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ||
        ::listen(fd_, 64)) {
      std::perror("replica");
      std::exit(kCouldNotRun);
    }
    socklen_t size = sizeof(address);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }

  /// Ends the replica as the end of its process would: nothing listens any
  /// more and all its connections end.
  void Exit()
  {
    std::scoped_lock lock(mutex_);
    hasExited_ = true;
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    for (int fd : open_) {
      ::shutdown(fd, SHUT_RDWR);
    }
  }

  const std::string& Id() const { return id_; }
  std::string Address() const { return host_ + ":" + std::to_string(port_); }

private:
  void Accept()
  {
    while (!hasExited_) {
      int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::scoped_lock lock(mutex_);
        open_.insert(fd);
        std::thread([this, fd] {
          Serve(fd);
          std::scoped_lock end(mutex_);
          open_.erase(fd);
          ::close(fd);
        }).detach();
      }
    }
  }

  void Serve(int aFd)
  {
    Connection connection(::dup(aFd));
    while (auto request = ReadMessage(connection, 60000)) {
      if (request->Field("tanagerstall-expect-instance") != id_) {
        connection.Write("HTTP/1.1 421 Misdirected Request\r\n"
                         "Content-Length: 0\r\n\r\n");
        continue;
      }
      if (!connection.Write(handler_(*request))) {
        return;
      }
    }
  }

  std::string id_;
  std::string host_;
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
  std::mutex mutex_;
  std::set<int> open_;
  std::atomic<bool> hasExited_{ false };
};

/// An answer as the pages describe it: the id echoed, and a seal.
inline std::string
Answer(const Message& aRequest,
       int aStatus,
       const std::string& aReason,
       const std::string& aBody,
       const std::string& aFields = "")
{
  std::string id = aRequest.Field("tanagerstall-request-id");
  return "HTTP/1.1 " + std::to_string(aStatus) + " " + aReason +
         "\r\nTanagerstall-Request-Id: " + id +
         "\r\nTanagerstall-Response-Seal: seal-" + id + "\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// A small deployment: three control processes that tolerate the loss of one,
/// and entries, in three zones of a region.
class Deployment
{
public:
  Deployment(Record& aRecord, int aEntries)
    : record_(aRecord)
    , folder_(MakeFolder())
  {
    WatchSignals();
    if (!ChooseAddresses(aEntries)) {
      Fail("no free loopback addresses");
    }
    for (std::size_t i = 0; i < control_.size(); ++i) {
      Start("core", control_[i], i);
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      Start("front", entries_[i], i);
    }
  }

  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Ends all processes and the case, with its threads as they are.
  [[noreturn]] void End(int aStatus)
  {
    // A signal may come while the case ends; the first caller ends it.
    endMutex_.lock();
    isEnding_ = true;
    for (pid_t process : processes_) {
      ::kill(process, SIGKILL);
      ::waitpid(process, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
    std::_Exit(aStatus);
  }

  [[noreturn]] void Fail(const std::string& aWhy)
  {
    record_.Line("could not run: " + aWhy);
    std::fprintf(stderr, "could not run: %s\n", aWhy.c_str());
    End(kCouldNotRun);
  }

  std::string ReplicaHost(int aNumber) const
  {
    return prefix_ + "3." + std::to_string(aNumber);
  }
  const std::string& EntryHost(std::size_t aEntry) const
  {
    return entries_.at(aEntry);
  }
  static constexpr int kEntryPort = 8221;

  /// Sends the configuration until it is acknowledged.
  void Configure(const std::string& aDocument)
  {
    auto until = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < until) {
      auto answer = Call(control_[0],
                         kControlPort,
                         "PUT /tanagerstall/configuration",
                         aDocument);
      if (answer && answer->Status() == 200) {
        record_.Line("the configuration is acknowledged");
        return;
      }
      SleepMs(200);
    }
    Fail("the configuration is not acknowledged");
  }

  /// What a replica says of itself in its heartbeats.
  struct Beats
  {
    std::atomic<bool> isDraining_{ false };
    /// Whether a heartbeat with that was acknowledged.
    std::atomic<bool> isDrainingAcknowledged_{ false };
  };

  /// Has the replica announce itself until the end of the case.
  std::shared_ptr<Beats> Announce(const Replica& aReplica,
                                  const std::string& aService)
  {
    auto beats = std::make_shared<Beats>();
    auto born = std::chrono::duration_cast<Ms>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    std::thread([this, born, beats, &aReplica, aService] {
      for (int sequence = 1; !isEnding_; ++sequence) {
        bool isDraining = beats->isDraining_;
        std::string body =
          R"({"service":")" + aService + R"(","address":")" +
          aReplica.Address() +
          R"(","zone":"seoul-a","version":"v1","slots":48,"state":")" +
          (isDraining ? "draining" : "ready") +
          R"(","coldRemainingMs":0,"born":)" + std::to_string(born) +
          R"(,"sequence":)" + std::to_string(sequence) + "}";
        int status = CallControl(
          1, "PUT /tanagerstall/instances/" + aReplica.Id(), body);
        if (isDraining && status == 200) {
          beats->isDrainingAcknowledged_ = true;
        }
        for (int i = 0; i < 12 && isDraining == beats->isDraining_; ++i) {
          SleepMs(100);
        }
      }
    }).detach();
    return beats;
  }

  bool AwaitAcknowledgement(const Beats& aBeats)
  {
    for (int i = 0; i < 500 && !aBeats.isDrainingAcknowledged_; ++i) {
      SleepMs(10);
    }
    return aBeats.isDrainingAcknowledged_;
  }

  /// Calls a control process; nothing without an answer.
  std::optional<Message> AskControl(std::size_t aNumber,
                                    const std::string& aCall,
                                    const std::string& aBody)
  {
    return Call(control_.at(aNumber), kControlPort, aCall, aBody);
  }

  /// Returns the status of a call to a control process; 0 without an answer.
  int CallControl(std::size_t aNumber,
                  const std::string& aCall,
                  const std::string& aBody)
  {
    auto answer = AskControl(aNumber, aCall, aBody);
    return answer ? answer->Status() : 0;
  }

  /// Waits until all entries are ready, a request of the case succeeds and the
  /// processes have run for as long as machines do before their traffic starts
  /// (10 s, more than contactWindowMs, so that all are in touch).
  void AwaitService(const std::function<bool()>& aTry)
  {
    auto until = Clock::now() + std::chrono::seconds(25);
    for (const auto& entry : entries_) {
      while (true) {
        auto answer =
          Call(entry, kReadinessPort, "GET /tanagerstall/readiness", "");
        if (answer && answer->Status() == 200) {
          break;
        }
        if (Clock::now() >= until) {
          Fail("an entry is not ready");
        }
        SleepMs(100);
      }
    }
    while (!aTry()) {
      if (Clock::now() >= until) {
        Fail("no request is served before the test");
      }
      SleepMs(200);
    }
    std::this_thread::sleep_until(startedAt_ + std::chrono::seconds(10));
    record_.Line("the deployment serves");
  }

  bool AllRun() const
  {
    for (pid_t process : processes_) {
      if (::waitpid(process, nullptr, WNOHANG) != 0) {
        return false;
      }
    }
    return true;
  }

private:
  static constexpr int kControlPort = 8229;
  static constexpr int kDirectoryPort = 8230;
  static constexpr int kReadinessPort = 8224;
  static constexpr int kMetricsPort = 9464;

  /// The longest time of a case.
  static constexpr int kLimitS = 105;

  /// Ends the case and its processes on a signal, or when it takes too long.
  void WatchSignals()
  {
    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : { SIGTERM, SIGINT, SIGHUP }) {
      sigaddset(&signals, signal);
    }
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([this, signals] {
      timespec limit{ kLimitS, 0 };
      ::sigtimedwait(&signals, nullptr, &limit);
      record_.Line("could not run: ended by a signal or its time limit");
      End(kCouldNotRun);
    }).detach();
  }

  static std::filesystem::path MakeFolder()
  {
    const char* base = std::getenv("TMPDIR");
    std::string text =
      std::string(base != nullptr ? base : "/tmp") + "/review-3-XXXXXX";
    if (::mkdtemp(text.data()) == nullptr) {
      std::perror("mkdtemp");
      std::exit(kCouldNotRun);
    }
    return text;
  }

  bool ChooseAddresses(int aEntries)
  {
    std::mt19937 random(std::random_device{}());
    for (int attempt = 0; attempt < 50; ++attempt) {
      prefix_ = "127." + std::to_string(2 + random() % 250) + ".";
      control_.clear();
      entries_.clear();
      bool isFree = true;
      for (int i = 1; i <= 3; ++i) {
        control_.push_back(prefix_ + "1." + std::to_string(i));
        for (int port : { kControlPort, kDirectoryPort, kMetricsPort, 7600, 7601 }) {
          isFree = isFree && IsFree(control_.back(), port);
        }
      }
      for (int i = 1; i <= aEntries; ++i) {
        entries_.push_back(prefix_ + "2." + std::to_string(i));
        for (int port : { kEntryPort, kReadinessPort, kMetricsPort }) {
          isFree = isFree && IsFree(entries_.back(), port);
        }
      }
      if (isFree) {
        return true;
      }
    }
    return false;
  }

  void WriteSettings(const std::filesystem::path& aFile,
                     const std::string& aClass,
                     const std::string& aHost,
                     std::size_t aNumber)
  {
    const char* zones[] = { "seoul-a", "seoul-b", "seoul-c" };
    std::ofstream out(aFile);
    out << "nodeName=" << aClass << "-" << zones[aNumber % 3] << "-1\n"
        << "role=" << (aClass == "front" ? "entry" : "control") << "\n"
        << "machineClass=" << aClass << "\n"
        << "ipAddress=" << aHost << "\nzone=" << zones[aNumber % 3]
        << "\nregion=seoul\n";
    for (const char* zone : zones) {
      out << "zones." << zone << "=seoul\n";
    }
    if (aClass == "front") {
      out << "serves=front\nlisten.front=" << aHost << ":" << kEntryPort
          << "\nlisten.ready=" << aHost << ":" << kReadinessPort
          << "\nlimits.cpuShare=0.25\nlimits.memoryMb=260\n"
          << "limits.fileDescriptors=4100\ncountsAsLoss=false\n";
    } else {
      out << "serves=control,directory\nlisten.control=" << aHost << ":"
          << kControlPort << "\nlisten.directory=" << aHost << ":"
          << kDirectoryPort << "\ndataDirectory="
          << (folder_ / ("data-" + std::to_string(aNumber))).string()
          << "\nlimits.cpuShare=0.15\nlimits.memoryMb=256\n"
          << "limits.fileDescriptors=4096\nlimits.diskMb=128\n"
          << "countsAsLoss=true\n";
    }
    out << "internalPortRange=7600,7615\nseeds=";
    for (std::size_t i = 0; i < control_.size(); ++i) {
      out << (i == 0 ? "" : ",") << control_[i] << ":" << kControlPort;
    }
    out << "\nbootstrap=true\nlimits.cores=1\nlimits.linkMbps=1000.0\n"
           "discovery=registration\nentry=directory\n"
           "heartbeatIntervalMs=1200\n"
           "contracts=base,drain,config,cost,retry,recover,engine,stream,"
           "tenants,quota,leader\n"
           "faultTolerance.machines=1\nfaultTolerance.zones=0\n"
           "faultTolerance.regions=0\n"
           "bounds.seedLagS=3\nbounds.reuseAfterS=2\n"
           "bounds.contactWindowMs=4000\nbounds.ackTimeoutMs=5000\n"
           "bounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8\n"
           "bounds.lossSlackMs=200\nbounds.configApplyMs=3000\n"
           "bounds.rollbackSlackMs=250\nbounds.maxStretchMs=6000\n"
           "bounds.strictRevocation=false\nbounds.revokeMs=5000\n"
           "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
           "bounds.retryBudgetSlack=54\nbounds.quotaWindowS=8\n"
           "bounds.quotaOvershoot=0.1\nbounds.quotaSlack=72000\n"
           "bounds.requireFencing=false\nbounds.leaseMs=3000\n"
           "bounds.thawSlackMs=300\nbounds.usageWindowS=5\n"
           "bounds.usageTolerance=0.05\nbounds.usageLateS=10\n"
           "bounds.recoveryS=12\nbounds.passMs=400\n"
           "bounds.reuseWindowS=7\nbounds.ttl_max_s=5\n"
           "configurationMode=highest\ncloud.address="
        << prefix_ << "5.1:8225\n"
        << "cloud.ratePerS=50.0\ncloud.duties=usage,scaling\n"
           "cloud.dutyPerS=50.0\n";
  }

  void Start(const std::string& aClass,
             const std::string& aHost,
             std::size_t aNumber)
  {
    std::string name = aClass + "-" + std::to_string(aNumber);
    auto settings = folder_ / (name + ".conf");
    WriteSettings(settings, aClass, aHost, aNumber);
    std::filesystem::create_directories(
      folder_ / ("data-" + std::to_string(aNumber)));
    std::string program = aClass == "front"
                            ? "target/platform/tanagerstall-platform-entryd"
                            : "target/platform/tanagerstall-platform-controld";
    auto log = folder_ / (name + ".log");
    pid_t parent = ::getpid();
    pid_t process = ::fork();
    if (process == 0) {
      sigset_t none;
      sigemptyset(&none);
      ::sigprocmask(SIG_SETMASK, &none, nullptr);
      // For the case that this program is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) {
        ::_exit(1);
      }
      int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      std::string variable = "TANAGERSTALL_CONFIG=" + settings.string();
      std::string path = "PATH=/usr/bin:/bin";
      char* environment[] = { variable.data(), path.data(), nullptr };
      char* arguments[] = { program.data(), nullptr };
      ::execve(program.c_str(), arguments, environment);
      ::_exit(127);
    }
    processes_.push_back(process);
    record_.Line("started " + name + " at " + aHost);
  }

  std::optional<Message> Call(const std::string& aHost,
                              int aPort,
                              const std::string& aCall,
                              const std::string& aBody)
  {
    auto connection = Connection::To(aHost, aPort);
    if (!connection) {
      return std::nullopt;
    }
    connection->Write(aCall + " HTTP/1.1\r\nHost: " + aHost +
                      "\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    return ReadMessage(*connection, 3000);
  }

  Record& record_;
  std::filesystem::path folder_;
  std::string prefix_;
  std::vector<std::string> control_;
  std::vector<std::string> entries_;
  std::vector<pid_t> processes_;
  std::atomic<bool> isEnding_{ false };
  std::mutex endMutex_;
  Clock::time_point startedAt_ = Clock::now();
};

/// A configuration with a route of each kind to the service "app".
inline std::string
Configuration(int aVersion = 1)
{
  auto route = [](const std::string& aName, const std::string& aMore) {
    return R"({"name":"r-)" + aName +
           R"(","host":"desk.example","pathPrefix":"/)" + aName +
           R"(/","timeoutMs":4000,"targetLatencyMs":400,"priority":1,)"
           R"("service":"app","attempts":2,"anonymous":false,)" +
           aMore + "}";
  };
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         route("unsafe",
               R"("kind":"unsafe","sessionAffinity":false,"resumable":false)") +
         "," +
         route("safe",
               R"("kind":"safe","sessionAffinity":false,"resumable":false)") +
         "," +
         route("stream",
               R"("kind":"streaming","sessionAffinity":true,"resumable":true,)"
               R"("targetGapMs":300)") +
         R"(],"services":[{"name":"app","healthPath":"/health",)"
         R"("maxConnections":100,"protocol":"h1","tls":false}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

/// Whether the case runs with its disruption.
inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review

#endif
