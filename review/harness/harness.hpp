// Stand-ins and process control for the review scripts: a blocking HTTP client
// and server, replicas that announce themselves, and a small deployment of the
// project's own programs on loopback addresses.
#ifndef REVIEW_HARNESS_HPP_INCLUDED
#define REVIEW_HARNESS_HPP_INCLUDED

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
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
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Millis = long;

/// Exit codes of a script.
enum Verdict
{
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2
};

inline Millis
Now()
{
  static const auto start = std::chrono::steady_clock::now();
  return static_cast<Millis>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - start)
      .count());
}

inline Millis
UnixMillis()
{
  return static_cast<Millis>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

inline void
SleepFor(Millis aMillis)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(std::max(aMillis, 0L)));
}

/// Writes record.txt: a line for each thing that was sent, answered or run.
class Record
{
public:
  static Record& The()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aPath)
  {
    file_ = std::fopen(aPath.c_str(), "w");
  }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    char text[1024];
    va_list arguments;
    va_start(arguments, aFormat);
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    std::scoped_lock lock(mutex_);
    for (FILE* out : { file_, stdout }) {
      if (out != nullptr) {
        std::fprintf(
          out, "%7.3f %s\n", static_cast<double>(Now()) / 1000.0, text);
        std::fflush(out);
      }
    }
  }

private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

#define RECORD(...) ::review::Record::The().Line(__VA_ARGS__)

struct Message
{
  /// Request line or status line.
  std::string first_;
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;

  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers_) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Method() const { return first_.substr(0, first_.find(' ')); }
  std::string Path() const
  {
    auto begin = first_.find(' ') + 1;
    return first_.substr(begin, first_.find(' ', begin) - begin);
  }
  int Status() const
  {
    return first_.size() < 12 ? 0 : std::atoi(first_.c_str() + 9);
  }
};

/// A connected socket with a read buffer.
class Stream
{
public:
  explicit Stream(int aSocket = -1)
    : socket_(aSocket)
  {
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool Connect(const std::string& aHost, int aPort, Millis aTimeout)
  {
    Close();
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
    int done = ::connect(
      socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (done != 0) {
      pollfd wait{ socket_, POLLOUT, 0 };
      int error = 0;
      socklen_t size = sizeof(error);
      if (errno != EINPROGRESS ||
          ::poll(&wait, 1, static_cast<int>(aTimeout)) != 1 ||
          ::getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
          error != 0) {
        Close();
        return false;
      }
    }
    int one = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return true;
  }
  bool IsOpen() const { return socket_ >= 0; }
  int Socket() const { return socket_; }
  void Close()
  {
    if (socket_ >= 0) {
      ::close(socket_);
    }
    socket_ = -1;
    buffer_.clear();
  }
  /// Closes so that the peer sees a reset.
  void Reset()
  {
    linger hard{ 1, 0 };
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    Close();
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t done = 0;
    while (done < aBytes.size()) {
      auto count = ::send(
        socket_, aBytes.data() + done, aBytes.size() - done, MSG_NOSIGNAL);
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        pollfd wait{ socket_, POLLOUT, 0 };
        if (::poll(&wait, 1, 10'000) != 1) {
          return false;
        }
        continue;
      }
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Reads a whole message with a length, chunks, or (a response) until the
  /// end of the connection. Returns false if it doesn't come whole in time.
  bool Read(Message& aMessage, Millis aTimeout, bool aIsResponse)
  {
    Millis until = Now() + aTimeout;
    aMessage = {};
    while (true) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        if (!Fill(until)) {
          return false;
        }
      }
      ParseHead(buffer_.substr(0, end), aMessage);
      buffer_.erase(0, end + 4);
      bool isInterim = aIsResponse && aMessage.Status() / 100 == 1;
      if (!isInterim) {
        break;
      }
    }
    std::string length = aMessage.Header("Content-Length");
    if (aMessage.Header("Transfer-Encoding").find("chunked") !=
        std::string::npos) {
      return ReadChunks(aMessage, until);
    }
    if (!length.empty() || !aIsResponse) {
      std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
      while (buffer_.size() < size) {
        if (!Fill(until)) {
          return false;
        }
      }
      aMessage.body_ = buffer_.substr(0, size);
      buffer_.erase(0, size);
      return true;
    }
    while (Fill(until)) {
    }
    aMessage.body_ = std::exchange(buffer_, {});
    return isEnded_;
  }

private:
  static void ParseHead(const std::string& aText, Message& aMessage)
  {
    std::istringstream lines(aText);
    std::string line;
    std::getline(lines, aMessage.first_);
    if (aMessage.first_.ends_with('\r')) {
      aMessage.first_.pop_back();
    }
    aMessage.headers_.clear();
    while (std::getline(lines, line)) {
      if (line.ends_with('\r')) {
        line.pop_back();
      }
      auto colon = line.find(':');
      if (colon != std::string::npos) {
        auto value = line.find_first_not_of(' ', colon + 1);
        aMessage.headers_.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
      }
    }
  }
  bool ReadLine(std::string& aLine, Millis aUntil)
  {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(aUntil)) {
        return false;
      }
    }
    aLine = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  bool ReadChunks(Message& aMessage, Millis aUntil)
  {
    std::string line;
    while (ReadLine(line, aUntil)) {
      std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        return ReadLine(line, aUntil);
      }
      while (buffer_.size() < size + 2) {
        if (!Fill(aUntil)) {
          return false;
        }
      }
      aMessage.body_ += buffer_.substr(0, size);
      buffer_.erase(0, size + 2);
    }
    return false;
  }
  bool Fill(Millis aUntil)
  {
    pollfd wait{ socket_, POLLIN, 0 };
    Millis left = aUntil - Now();
    if (socket_ < 0 || left <= 0 ||
        ::poll(&wait, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[16384];
    auto count = ::recv(socket_, bytes, sizeof(bytes), 0);
    isEnded_ = count == 0;
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int socket_;
  bool isEnded_ = false;
  std::string buffer_;
};

/// Sends a request on a new connection and reads the response. Status 0 means
/// that no whole response came.
inline Message
Call(const std::string& aHost,
     int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody = "",
     const std::string& aMoreHeaders = "",
     Millis aTimeout = 1000)
{
  Stream stream;
  Message response;
  if (!stream.Connect(aHost, aPort, 1000)) {
    return response;
  }
  std::string request = aMethod + " " + aPath + " HTTP/1.1\r\n";
  if (aMoreHeaders.find("Host:") == std::string::npos) {
    request += "Host: " + aHost + ":" + std::to_string(aPort) + "\r\n";
  }
  if (!aBody.empty()) {
    request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(aBody.size()) + "\r\n";
  }
  request += aMoreHeaders + "Connection: close\r\n\r\n" + aBody;
  if (!stream.Write(request) || !stream.Read(response, aTimeout, true)) {
    response.first_.clear();
  }
  return response;
}

/// Serves each connection on a thread of its own.
class Server
{
public:
  using Handler = std::function<bool(const Message&, Stream&)>;

  Server(std::string aHost, int aPort, Handler aHandler)
    : handler_(std::move(aHandler))
  {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
    if (::bind(listener_,
               reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(listener_, 256) != 0) {
      RECORD("can't listen on %s:%d", aHost.c_str(), aPort);
      std::exit(kCouldNotRun);
    }
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }

  /// Ends the listener and resets all connections, as a killed process would.
  void Stop()
  {
    if (isStopped_.exchange(true)) {
      return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    {
      std::scoped_lock lock(mutex_);
      for (int socket : sockets_) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    acceptor_.join();
    ::close(listener_);
    while (connections_ > 0) {
      SleepFor(5);
    }
  }
  bool IsStopped() const { return isStopped_; }

private:
  void Accept()
  {
    while (!isStopped_) {
      int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (isStopped_) {
          return;
        }
        SleepFor(5);
        continue;
      }
      int one = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
      {
        std::scoped_lock lock(mutex_);
        sockets_.insert(socket);
      }
      ++connections_;
      std::thread([this, socket] {
        {
          Stream stream(socket);
          Message request;
          while (!isStopped_ && stream.Read(request, 60'000, false) &&
                 handler_(request, stream)) {
          }
          std::scoped_lock lock(mutex_);
          sockets_.erase(socket);
        }
        --connections_;
      }).detach();
    }
  }

  Handler handler_;
  int listener_ = -1;
  std::thread acceptor_;
  std::atomic<bool> isStopped_{ false };
  std::atomic<int> connections_{ 0 };
  std::mutex mutex_;
  std::set<int> sockets_;
};

inline std::string
Answer(int aStatus, const std::string& aMoreHeaders, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aMoreHeaders +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// The ports of one machine; all machines differ in their loopback address.
constexpr int kFrontPort = 8221;
constexpr int kDirectoryPort = 8220;
constexpr int kReadyPort = 8224;
constexpr int kControlPort = 8229;
constexpr int kReplicaPort = 8080;
constexpr int kCloudPort = 8225;

/// One of the project's programs as a process.
struct Machine
{
  std::string name_;
  std::string host_;
  std::string program_ = {};
  std::string settings_ = {};
  pid_t pid_ = -1;
};

/// A small deployment: core machines with control, front machines with
/// entries, and the platform's API.
class Fleet
{
public:
  Fleet(int aControls, int aEntries)
  {
    std::string folder = "/tmp/review-XXXXXX";
    folder_ = ::mkdtemp(folder.data());
    subnet_ = "127." + std::to_string(20 + ::getpid() % 200) + "." +
              std::to_string(1 + (::getpid() / 200) % 250) + ".";
    for (int i = 0; i < aControls; ++i) {
      controls_.push_back({ "core-a-" + std::to_string(i + 1), Host(1 + i) });
    }
    for (int i = 0; i < aEntries; ++i) {
      entries_.push_back({ "front-a-" + std::to_string(i + 1), Host(51 + i) });
    }
    cloud_ = std::make_unique<Server>(
      Host(90), kCloudPort, [](const Message& aRequest, Stream& aStream) {
        RECORD("platform: %s from %s fence %s",
               aRequest.Path().c_str(),
               aRequest.Header("Tanagerstall-Duty-Holder").c_str(),
               aRequest.Header("Tanagerstall-Fence-Token").c_str());
        return aStream.Write(Answer(200, "", "{}"));
      });
    for (auto& machine : controls_) {
      Prepare(machine, true);
    }
    for (auto& machine : entries_) {
      Prepare(machine, false);
    }
  }
  ~Fleet()
  {
    for (auto* machines : { &entries_, &controls_ }) {
      for (auto& machine : *machines) {
        Kill(machine);
      }
    }
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) {
      std::filesystem::remove_all(folder_, ignored);
    } else {
      std::printf("logs are kept in %s\n", folder_.c_str());
    }
  }

  std::string Host(int aLast) const { return subnet_ + std::to_string(aLast); }
  Machine& Control(int aIndex)
  {
    return controls_.at(static_cast<std::size_t>(aIndex));
  }
  Machine& Entry(int aIndex)
  {
    return entries_.at(static_cast<std::size_t>(aIndex));
  }
  int Controls() const { return static_cast<int>(controls_.size()); }
  int Entries() const { return static_cast<int>(entries_.size()); }

  void Start(Machine& aMachine)
  {
    std::string file = folder_ + "/" + aMachine.name_ + ".conf";
    std::ofstream(file) << aMachine.settings_;
    std::string log = folder_ + "/" + aMachine.name_ + ".log";
    std::string variable = "TANAGERSTALL_CONFIG=" + file;
    char* arguments[] = { aMachine.program_.data(), nullptr };
    char* environment[] = { variable.data(), nullptr };
    int out =
      ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    aMachine.pid_ = ::fork();
    if (aMachine.pid_ == 0) {
      // Ends with this program, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execve(arguments[0], arguments, environment);
      ::_exit(127);
    }
    ::close(out);
  }
  /// Ends a process at once.
  static void Kill(Machine& aMachine)
  {
    if (aMachine.pid_ > 0) {
      ::kill(aMachine.pid_, SIGCONT);
      ::kill(aMachine.pid_, SIGKILL);
      ::waitpid(aMachine.pid_, nullptr, 0);
      aMachine.pid_ = -1;
    }
  }
  static void Signal(const Machine& aMachine, int aSignal)
  {
    RECORD("signal %d to %s", aSignal, aMachine.name_.c_str());
    ::kill(aMachine.pid_, aSignal);
  }
  bool HasEnded(Machine& aMachine)
  {
    int status = 0;
    if (aMachine.pid_ > 0 &&
        ::waitpid(aMachine.pid_, &status, WNOHANG) == aMachine.pid_) {
      RECORD("%s ended: %s %d",
             aMachine.name_.c_str(),
             WIFSIGNALED(status) ? "signal" : "status",
             WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      aMachine.pid_ = -1;
      return true;
    }
    return false;
  }

  /// Starts all processes and sends the configuration until it is accepted and
  /// all entries are ready. Exits if that takes too long.
  void StartAll(const std::string& aConfiguration)
  {
    for (auto* machines : { &controls_, &entries_ }) {
      for (auto& machine : *machines) {
        Start(machine);
      }
    }
    Millis until = Now() + 20'000;
    int next = 0;
    while (!Put(next++ % Controls(), aConfiguration)) {
      ExitAfter(until);
      SleepFor(200);
    }
    for (auto& entry : entries_) {
      while (Call(entry.host_, kReadyPort, "GET", "/tanagerstall/readiness")
               .Status() != 200) {
        ExitAfter(until);
        SleepFor(100);
      }
    }
    RECORD("all processes are ready");
  }
  bool Put(int aControl, const std::string& aConfiguration)
  {
    return Call(Control(aControl).host_,
                kControlPort,
                "PUT",
                "/tanagerstall/configuration",
                aConfiguration)
             .Status() == 200;
  }

private:
  static void ExitAfter(Millis aUntil)
  {
    if (Now() > aUntil) {
      RECORD("the deployment did not start");
      std::exit(kCouldNotRun);
    }
  }
  void Prepare(Machine& aMachine, bool aIsControl)
  {
    std::ostringstream out;
    std::string ip = aMachine.host_;
    auto at = [&](int aPort) { return ip + ":" + std::to_string(aPort); };
    out << "nodeName=" << aMachine.name_
        << "\nrole=" << (aIsControl ? "control" : "entry")
        << "\nmachineClass=" << (aIsControl ? "core" : "front")
        << "\nserves=" << (aIsControl ? "control,directory" : "front")
        << "\nipAddress=" << ip
        << "\nzone=zone-a\nregion=region-a\nzones.zone-a=region-a\n";
    if (aIsControl) {
      aMachine.program_ = "target/platform/tanagerstall-platform-controld";
      std::string data = folder_ + "/data-" + aMachine.name_;
      std::filesystem::create_directories(data);
      out << "listen.control=" << at(kControlPort)
          << "\nlisten.directory=" << at(kDirectoryPort)
          << "\ndataDirectory=" << data << "\n";
    } else {
      aMachine.program_ = "target/platform/tanagerstall-platform-entryd";
      out << "listen.front=" << at(kFrontPort)
          << "\nlisten.ready=" << at(kReadyPort) << "\n";
    }
    out << "internalPortRange=7600,7615\nseeds=";
    for (int i = 0; i < std::min(3, Controls()); ++i) {
      out << (i > 0 ? "," : "") << Host(1 + i) << ":" << kControlPort;
    }
    out << "\nbootstrap=true\ncountsAsLoss=" << (aIsControl ? "true" : "false")
        << "\nlimits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260"
           "\nlimits.fileDescriptors=4100\nlimits.linkMbps=1000.0"
           "\nlimits.diskMb=128\ndiscovery=registration\nentry=directory"
           "\nheartbeatIntervalMs=1200"
           "\ncontracts=base,drain,config,cost,retry,recover,engine,stream,"
           "tenants,quota,leader"
           "\nfaultTolerance.machines=1\nfaultTolerance.zones=0"
           "\nfaultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2"
           "\nbounds.contactWindowMs=4000\nbounds.ackTimeoutMs=5000"
           "\nbounds.catchUpS=4\nbounds.drainMs=3000\nbounds.graceS=8"
           "\nbounds.lossSlackMs=200\nbounds.configApplyMs=3000"
           "\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=6000"
           "\nbounds.strictRevocation=false\nbounds.revokeMs=5000"
           "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
           "\nbounds.retryBudgetSlack=54\nbounds.quotaWindowS=8"
           "\nbounds.quotaOvershoot=0.1\nbounds.quotaSlack=72000"
           "\nbounds.requireFencing=false\nbounds.leaseMs=3000"
           "\nbounds.thawSlackMs=300\nbounds.usageWindowS=5"
           "\nbounds.usageTolerance=0.05\nbounds.usageLateS=10"
           "\nbounds.recoveryS=12\nbounds.passMs=400\nbounds.reuseWindowS=7"
           "\nbounds.ttl_max_s=5\nconfigurationMode=highest\ncloud.address="
        << Host(90) << ":" << kCloudPort
        << "\ncloud.ratePerS=50.0\ncloud.duties=usage,scaling"
           "\ncloud.dutyPerS=50.0\n";
    aMachine.settings_ = out.str();
  }

  std::string folder_;
  std::string subnet_;
  std::vector<Machine> controls_;
  std::vector<Machine> entries_;
  std::unique_ptr<Server> cloud_;
};

/// A replica of a plain service. It answers each request after its work time
/// and announces itself to one control process after the other.
class Replica
{
public:
  struct Options
  {
    std::string id_;
    std::string service_ = "orders";
    int host_ = 101;
    Millis workTime_ = 30;
  };

  Replica(Fleet& aFleet, Options aOptions)
    : fleet_(aFleet)
    , options_(std::move(aOptions))
    , born_(UnixMillis())
    , server_(fleet_.Host(options_.host_),
              kReplicaPort,
              [this](const Message& aRequest, Stream& aStream) {
                return Serve(aRequest, aStream);
              })
  {
    RECORD("replica %s (born %ld) starts at %s",
           options_.id_.c_str(),
           born_,
           fleet_.Host(options_.host_).c_str());
  }
  ~Replica() { Crash(); }

  /// Starts the heartbeats; the first one goes to this control process, each
  /// next one to the next.
  void StartBeats(int aFirstControl)
  {
    nextControl_ = aFirstControl;
    beats_ = std::thread([this] {
      while (!isStopped_ && !hasLeft_) {
        if (!isPaused_) {
          Beat();
        }
        for (int i = 0; i < 120 && !isStopped_ && !hasLeft_; ++i) {
          SleepFor(10);
        }
      }
    });
  }
  /// Sends one heartbeat; returns the control process that acknowledged it.
  int Beat()
  {
    for (int tries = 0; tries < fleet_.Controls(); ++tries) {
      int control = nextControl_++ % fleet_.Controls();
      if (BeatTo(control)) {
        return control;
      }
    }
    return -1;
  }
  bool BeatTo(int aControl) { return BeatTo(aControl, ++sequence_, state_); }
  bool BeatTo(int aControl, int aSequence, const std::string& aState)
  {
    std::string body =
      R"({"service":")" + options_.service_ + R"(","address":")" +
      fleet_.Host(options_.host_) + ":" + std::to_string(kReplicaPort) +
      R"(","zone":"zone-a","version":"v1","slots":6,"state":")" + aState +
      R"(","coldRemainingMs":0,"sequence":)" + std::to_string(aSequence) +
      R"(,"born":)" + std::to_string(born_) + "}";
    int status = Call(fleet_.Control(aControl).host_,
                      kControlPort,
                      "PUT",
                      "/tanagerstall/instances/" + options_.id_,
                      body)
                   .Status();
    RECORD("heartbeat %d (%s) of %s to %s: %d",
           aSequence,
           aState.c_str(),
           options_.id_.c_str(),
           fleet_.Control(aControl).name_.c_str(),
           status);
    if (status == 200) {
      lastControl_ = aControl;
    }
    return status == 200;
  }
  /// Stops the regular heartbeats; the caller sends them.
  void PauseBeats() { isPaused_ = true; }
  /// Returns the number of a heartbeat that the network holds.
  int HoldBeat() { return ++sequence_; }
  /// Delivers a heartbeat that the network has held.
  void DeliverLate(int aControl, int aSequence)
  {
    RECORD("a late heartbeat arrives");
    BeatTo(aControl, aSequence, "ready");
  }
  int LastSequence() const { return sequence_; }
  /// The control process that acknowledged the last heartbeat.
  int LastControl() const { return lastControl_; }
  /// Sends the DELETE that ends the registration to the next control process
  /// that acknowledges it. Returns its time, or 0.
  Millis Leave(bool aHasBody)
  {
    hasLeft_ = true;
    for (int tries = 0; tries < fleet_.Controls(); ++tries) {
      int control = nextControl_++ % fleet_.Controls();
      std::string body =
        aHasBody ? R"({"born":)" + std::to_string(born_) + "}" : "";
      int status = Call(fleet_.Control(control).host_,
                        kControlPort,
                        "DELETE",
                        "/tanagerstall/instances/" + options_.id_,
                        body)
                     .Status();
      RECORD("DELETE of %s to %s: %d",
             options_.id_.c_str(),
             fleet_.Control(control).name_.c_str(),
             status);
      if (status == 200) {
        return Now();
      }
    }
    return 0;
  }
  /// Ends without a word: connections and listener close.
  void Crash()
  {
    isStopped_ = true;
    server_.Stop();
    if (beats_.joinable()) {
      beats_.join();
    }
  }
  /// Called for each request that begins to run.
  std::function<void(const Message&)> onRun_;
  long Born() const { return born_; }
  int Runs() const { return runs_; }
  std::string state_ = "ready";

private:
  bool Serve(const Message& aRequest, Stream& aStream)
  {
    std::string id = aRequest.Header("Tanagerstall-Request-Id");
    std::string echo = "Tanagerstall-Request-Id: " + id + "\r\n";
    std::string expected = aRequest.Header("Tanagerstall-Expect-Instance");
    if (!expected.empty() && expected != options_.id_) {
      return aStream.Write(
        Answer(421, echo + "Tanagerstall-Not-Executed: 1\r\n", ""));
    }
    ++runs_;
    RECORD("request %s runs at %s", id.c_str(), options_.id_.c_str());
    if (onRun_) {
      onRun_(aRequest);
    }
    SleepFor(options_.workTime_);
    if (isStopped_) {
      return false;
    }
    return aStream.Write(Answer(200,
                                echo + "Tanagerstall-Response-Seal: seal-" +
                                  id + "\r\nKeep-Alive: timeout=5\r\n",
                                "done " + id));
  }

  Fleet& fleet_;
  Options options_;
  long born_;
  std::atomic<int> sequence_{ 0 };
  std::atomic<bool> isPaused_{ false };
  std::atomic<int> nextControl_{ 0 };
  std::atomic<int> lastControl_{ -1 };
  std::atomic<int> runs_{ 0 };
  std::atomic<bool> isStopped_{ false };
  std::atomic<bool> hasLeft_{ false };
  std::thread beats_;
  Server server_;
};

/// Headers of a client's request on the plain route.
inline std::string
ClientHeaders(const std::string& aId, Millis aRemaining)
{
  return "Host: shop.example\r\nTanagerstall-Request-Id: " + aId +
         "\r\nTanagerstall-Time-Remaining: " + std::to_string(aRemaining) +
         "\r\nTanagerstall-Key: key-of-tenant-1\r\n";
}

/// Whether the disruption is to be left out.
inline bool
IsCalm()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

} // namespace review

#endif
