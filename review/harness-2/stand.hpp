// Shared by the cases of the second review: starts the programs of the deploy
// file on loopback addresses, and has small stand-ins for the operator, the
// clients, the replicas and the platform's API. POSIX only.
#ifndef REVIEW_STAND_HPP_INCLUDED
#define REVIEW_STAND_HPP_INCLUDED

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
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
#include <random>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

/// Exit codes of a case.
enum Verdict
{
  Held = 0,
  Broken = 1,
  CannotRun = 2
};

inline void
Sleep(long aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

inline std::int64_t
WallMs()
{
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

/// The record of a case: what was sent, answered and run, with the
/// milliseconds since the case began.
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }
  void Open(const std::string& aFile) { file_ = std::fopen(aFile.c_str(), "w"); }
  long Now() const
  {
    return std::chrono::duration_cast<Ms>(Clock::now() - begin_).count();
  }
  void Line(const char* aFormat, ...) __attribute__((format(printf, 2, 3)))
  {
    std::scoped_lock lock(mutex_);
    va_list arguments;
    va_start(arguments, aFormat);
    char text[2000];
    std::vsnprintf(text, sizeof(text), aFormat, arguments);
    va_end(arguments);
    if (file_ != nullptr) {
      std::fprintf(file_, "%8ld %s\n", Now(), text);
      std::fflush(file_);
    }
  }
  /// A line that is also shown on the terminal.
  void Show(const std::string& aText)
  {
    Line("%s", aText.c_str());
    std::printf("%8ld %s\n", Now(), aText.c_str());
    std::fflush(stdout);
  }

private:
  Clock::time_point begin_ = Clock::now();
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

inline long
Now()
{
  return Record::Get().Now();
}

#define RECORD(...) stand::Record::Get().Line(__VA_ARGS__)

inline void
Show(const std::string& aText)
{
  Record::Get().Show(aText);
}

/// IP:PORT.
struct Address
{
  std::string ip_;
  int port_ = 0;
  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port_));
  inet_pton(AF_INET, aAddress.ip_.c_str(), &address.sin_addr);
  return address;
}

inline bool
IsFree(const Address& aAddress)
{
  int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto to = ToSocketAddress(aAddress);
  bool isFree =
    ::bind(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0;
  ::close(socket);
  return isFree;
}

struct Message
{
  std::string first_; // The request line or the status line.
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  int Status() const
  {
    return first_.size() > 12 ? std::atoi(first_.c_str() + 9) : 0;
  }
  std::string Header(const std::string& aName) const
  {
    for (const auto& [name, value] : headers_) {
      if (strcasecmp(name.c_str(), aName.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
};

/// A blocking connection with a deadline for each call.
class Connection
{
public:
  explicit Connection(int aSocket = -1)
    : socket_(aSocket)
  {
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Connect(const Address& aTo, long aTimeoutMs)
  {
    Close();
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto to = ToSocketAddress(aTo);
    int result =
      ::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    if (result != 0 && errno != EINPROGRESS) {
      Close();
      return false;
    }
    pollfd wait{ socket_, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&wait, 1, static_cast<int>(aTimeoutMs)) != 1 ||
        getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      Close();
      return false;
    }
    fcntl(socket_, F_SETFL, fcntl(socket_, F_GETFL) & ~O_NONBLOCK);
    int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return true;
  }
  void Close()
  {
    if (socket_ >= 0) {
      ::close(socket_);
    }
    socket_ = -1;
    buffer_.clear();
  }
  bool IsOpen() const { return socket_ >= 0; }
  int Socket() const { return socket_; }

  bool Write(const std::string& aText)
  {
    std::size_t done = 0;
    while (done < aText.size()) {
      auto count = ::send(
        socket_, aText.data() + done, aText.size() - done, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Reads one message with a length or in chunks. False at the end of the
  /// connection and at the deadline.
  bool Read(Message& aMessage, long aTimeoutMs)
  {
    auto end = Clock::now() + Ms(aTimeoutMs);
    std::size_t headEnd = 0;
    while ((headEnd = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(end)) {
        return false;
      }
    }
    aMessage = {};
    std::string head = buffer_.substr(0, headEnd + 2);
    buffer_.erase(0, headEnd + 4);
    std::size_t at = head.find("\r\n");
    aMessage.first_ = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      std::size_t lineEnd = head.find("\r\n", at);
      std::string line = head.substr(at, lineEnd - at);
      at = lineEnd + 2;
      std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      std::size_t value = line.find_first_not_of(' ', colon + 1);
      aMessage.headers_.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
    if (strcasecmp(aMessage.Header("Transfer-Encoding").c_str(), "chunked") ==
        0) {
      return ReadChunks(aMessage, end);
    }
    auto length = static_cast<std::size_t>(
      std::atol(aMessage.Header("Content-Length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(end)) {
        return false;
      }
    }
    aMessage.body_ = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

private:
  bool ReadChunks(Message& aMessage, Clock::time_point aEnd)
  {
    while (true) {
      std::size_t lineEnd = 0;
      while ((lineEnd = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(aEnd)) {
          return false;
        }
      }
      auto size = static_cast<std::size_t>(
        std::strtoul(buffer_.c_str(), nullptr, 16));
      while (buffer_.size() < lineEnd + 2 + size + 2) {
        if (!Fill(aEnd)) {
          return false;
        }
      }
      aMessage.body_ += buffer_.substr(lineEnd + 2, size);
      buffer_.erase(0, lineEnd + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  bool Fill(Clock::time_point aEnd)
  {
    auto left =
      std::chrono::duration_cast<Ms>(aEnd - Clock::now()).count();
    pollfd wait{ socket_, POLLIN, 0 };
    if (socket_ < 0 || left <= 0 ||
        ::poll(&wait, 1, static_cast<int>(left)) != 1) {
      return false;
    }
    char bytes[65536];
    auto count = ::recv(socket_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int socket_;
  std::string buffer_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string
RequestText(const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aHost,
            const Headers& aHeaders,
            const std::string& aBody)
{
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: " + aHost;
  for (const auto& [name, value] : aHeaders) {
    text += "\r\n" + name + ": " + value;
  }
  if (!aBody.empty() || aMethod == "PUT" || aMethod == "POST") {
    text += "\r\nContent-Length: " + std::to_string(aBody.size());
  }
  return text + "\r\n\r\n" + aBody;
}

/// One call on a connection of its own. The status is 0 without an answer.
inline Message
Call(const Address& aTo,
     const std::string& aMethod,
     const std::string& aTarget,
     const Headers& aHeaders,
     const std::string& aBody,
     long aTimeoutMs,
     const std::string& aHost = "")
{
  Connection connection;
  Message answer;
  if (!connection.Connect(aTo, std::min(aTimeoutMs, 1000L)) ||
      !connection.Write(RequestText(aMethod,
                                    aTarget,
                                    aHost.empty() ? aTo.Text() : aHost,
                                    aHeaders,
                                    aBody)) ||
      !connection.Read(answer, aTimeoutMs)) {
    return {};
  }
  return answer;
}

[[noreturn]] void
End(Verdict aVerdict, const std::string& aText);

[[noreturn]] inline void
Fail(const std::string& aText)
{
  End(CannotRun, aText);
}

/// A server with a thread for each connection.
class Server
{
public:
  using Handler = std::function<std::string(const Message&)>;
  Server(Address aAddress, Handler aHandler)
    : address_(std::move(aAddress))
    , handler_(std::move(aHandler))
  {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto to = ToSocketAddress(address_);
    if (::bind(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0 ||
        ::listen(socket_, 1024) != 0) {
      Fail("can't listen on " + address_.Text());
    }
    std::thread([this] { Accept(); }).detach();
  }
  const Address& At() const { return address_; }

private:
  void Accept()
  {
    while (true) {
      int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, socket] {
        Connection connection(socket);
        Message request;
        // An idle connection is closed after the time that answers announce.
        while (connection.Read(request, 20000)) {
          if (!connection.Write(handler_(request))) {
            return;
          }
        }
      }).detach();
    }
  }

  Address address_;
  Handler handler_;
  int socket_;
};

inline std::string
Answer(const std::string& aStatus, const Headers& aHeaders, std::string aBody)
{
  std::string text = "HTTP/1.1 " + aStatus;
  for (const auto& [name, value] : aHeaders) {
    text += "\r\n" + name + ": " + value;
  }
  return text + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

/// Runs functions on one thread that never ends. A process that is started is
/// killed when the thread that started it ends, so all are started here.
class Spawner
{
public:
  static void Run(const std::function<void()>& aStart)
  {
    static Spawner* spawner = new Spawner;
    std::unique_lock lock(spawner->mutex_);
    spawner->changed_.wait(lock, [&] { return !spawner->start_; });
    spawner->start_ = aStart;
    spawner->isDone_ = false;
    spawner->changed_.notify_all();
    spawner->changed_.wait(lock, [&] { return spawner->isDone_; });
  }

private:
  Spawner()
  {
    std::thread([this] {
      std::unique_lock lock(mutex_);
      while (true) {
        changed_.wait(lock, [this] { return start_ && !isDone_; });
        start_();
        start_ = nullptr;
        isDone_ = true;
        changed_.notify_all();
      }
    }).detach();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::function<void()> start_;
  bool isDone_ = true;
};

/// The ids of the processes that were started and haven't been waited for. A
/// signal handler reads them, so they are plain atomics.
class ProcessIds
{
public:
  static void Add(pid_t aId)
  {
    for (auto& id : ids_) {
      pid_t none = 0;
      if (id.compare_exchange_strong(none, aId)) {
        return;
      }
    }
  }
  static void Remove(pid_t aId)
  {
    for (auto& id : ids_) {
      pid_t expected = aId;
      id.compare_exchange_strong(expected, 0);
    }
  }
  static void KillAll()
  {
    for (auto& id : ids_) {
      if (pid_t running = id.exchange(0); running > 0) {
        ::kill(running, SIGKILL);
        ::waitpid(running, nullptr, 0);
      }
    }
  }
  /// Ends the processes also when the case itself is ended.
  static void HandleSignals()
  {
    for (int signal : { SIGTERM, SIGINT, SIGHUP, SIGABRT, SIGSEGV }) {
      std::signal(signal, [](int) {
        KillAll();
        _exit(CannotRun);
      });
    }
  }

private:
  static inline std::array<std::atomic<pid_t>, 64> ids_{};
};

[[noreturn]] inline void
End(Verdict aVerdict, const std::string& aText)
{
  Show(aText);
  std::fflush(nullptr);
  ProcessIds::KillAll();
  _exit(aVerdict);
}

/// A program of the deploy file as a process of its own.
class Process
{
public:
  Process(std::string aName, std::string aProgram, std::string aFolder)
    : name_(std::move(aName))
    , program_(std::move(aProgram))
    , folder_(std::move(aFolder))
  {
  }
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  std::string SettingsFile() const { return folder_ + "/" + name_ + ".conf"; }
  std::string LogFile() const { return folder_ + "/" + name_ + ".log"; }

  /// The platform says `bootstrap` at the first start only.
  void Start()
  {
    static std::mutex one;
    std::scoped_lock lock(one);
    if (std::exchange(wasStarted_, true)) {
      EndBootstrap();
    }
    Spawner::Run([this] { Fork(); });
  }
  void EndBootstrap() const
  {
    std::string text;
    std::ifstream from(SettingsFile());
    for (std::string line; std::getline(from, line);) {
      text += (line == "bootstrap=true" ? "bootstrap=false" : line) + "\n";
    }
    from.close();
    std::ofstream(SettingsFile()) << text;
  }
  void Fork()
  {
    std::string settings = "TANAGERSTALL_CONFIG=" + SettingsFile();
    RECORD("start %s", name_.c_str());
    pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ > 0) {
      ProcessIds::Add(pid_);
    }
    if (pid_ == 0) {
      // If the case itself is killed, this process ends as well.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) {
        _exit(127);
      }
      for (int signal : { SIGTERM, SIGINT, SIGHUP, SIGABRT, SIGSEGV }) {
        std::signal(signal, SIG_DFL);
      }
      int log =
        ::open(LogFile().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      for (int i = 3; i < 1024; ++i) {
        ::close(i);
      }
      char* const arguments[] = { const_cast<char*>(program_.c_str()),
                                  nullptr };
      char path[] = "PATH=/usr/bin:/bin";
      char* const environment[] = { settings.data(), path, nullptr };
      ::execve(program_.c_str(), arguments, environment);
      _exit(127);
    }
  }
  void Signal(int aSignal)
  {
    if (pid_ > 0) {
      ::kill(pid_, aSignal);
    }
  }
  void Kill()
  {
    if (pid_ > 0) {
      RECORD("kill %s", name_.c_str());
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      Forget();
    }
  }
  /// Sends a SIGTERM, and a SIGKILL after the grace period.
  void Terminate(long aGraceMs)
  {
    RECORD("SIGTERM %s", name_.c_str());
    Signal(SIGTERM);
    auto end = Clock::now() + Ms(aGraceMs);
    while (Clock::now() < end) {
      if (::waitpid(pid_, nullptr, WNOHANG) == pid_) {
        Forget();
        return;
      }
      Sleep(20);
    }
    Kill();
  }
  /// Whether the process ended by itself.
  bool HasEnded()
  {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
      Forget();
      return true;
    }
    return false;
  }
  const std::string& Name() const { return name_; }
  const std::string& Folder() const { return folder_; }

private:
  void Forget()
  {
    ProcessIds::Remove(pid_);
    pid_ = -1;
  }

  std::string name_;
  std::string program_;
  std::string folder_;
  bool wasStarted_ = false;
  pid_t pid_ = -1;
};

/// A small deployment: control and entry machines, each with an address of its
/// own in the loopback range and the same ports.
class Deployment
{
public:
  Deployment()
  {
    const char* folder = std::getenv("CASE_FOLDER");
    folder_ = folder != nullptr ? folder : "";
    if (folder_.empty()) {
      End(CannotRun, "start the case with run.sh");
    }
    std::signal(SIGPIPE, SIG_IGN);
    ProcessIds::HandleSignals();
    std::random_device random;
    for (int tries = 0; tries < 50; ++tries) {
      network_ = "127." + std::to_string(10 + random() % 200) + "." +
                 std::to_string(random() % 250) + ".";
      first_ = 20000 + static_cast<int>(random() % 9000);
      bool isFree = true;
      for (int i = 1; i < 40; ++i) {
        std::string ip = network_ + std::to_string(i);
        for (int port : { first_, first_ + 1, first_ + 20, first_ + 21,
                          first_ + 22, first_ + 23, first_ + 24, 9464 }) {
          isFree = isFree && IsFree({ ip, port });
        }
      }
      if (isFree) {
        return;
      }
    }
    End(CannotRun, "no free addresses");
  }

  std::string Ip(int aMachine) const { return network_ + std::to_string(aMachine); }
  Address Control(int aMachine) const { return { Ip(aMachine), first_ + 20 }; }
  Address Directory(int aMachine) const { return { Ip(aMachine), first_ + 21 }; }
  Address Front(int aMachine) const { return { Ip(aMachine), first_ + 22 }; }
  Address Ready(int aMachine) const { return { Ip(aMachine), first_ + 23 }; }
  Address Other(int aMachine) const { return { Ip(aMachine), first_ + 24 }; }
  const std::string& Folder() const { return folder_; }
  std::map<std::string, std::string>& Settings() { return settings_; }

  /// Makes the process of a machine; `aSeeds` are control machines.
  std::unique_ptr<Process> Make(const std::string& aName,
                                bool aIsControl,
                                int aMachine,
                                const std::vector<int>& aSeeds,
                                bool aIsBootstrap)
  {
    auto process = std::make_unique<Process>(
      aName,
      aIsControl ? "target/platform/tanagerstall-platform-controld"
                 : "target/platform/tanagerstall-platform-entryd",
      folder_);
    WriteSettings(*process, aIsControl, aMachine, aSeeds, aIsBootstrap);
    return process;
  }
  void WriteSettings(const Process& aProcess,
                     bool aIsControl,
                     int aMachine,
                     const std::vector<int>& aSeeds,
                     bool aIsBootstrap)
  {
    std::string seeds;
    for (int seed : aSeeds) {
      seeds += (seeds.empty() ? "" : ",") + Control(seed).Text();
    }
    std::map<std::string, std::string> all = settings_;
    all["nodeName"] = aProcess.Name();
    all["role"] = aIsControl ? "control" : "entry";
    all["machineClass"] = aIsControl ? "core" : "front";
    all["serves"] = aIsControl ? "control,directory" : "front";
    all["ipAddress"] = Ip(aMachine);
    all["zone"] = "z1";
    all["region"] = "r1";
    all["zones.z1"] = "r1";
    if (aIsControl) {
      all["listen.control"] = Control(aMachine).Text();
      all["listen.directory"] = Directory(aMachine).Text();
      all["dataDirectory"] = DataFolder(aProcess.Name());
      all["limits.diskMb"] = "128";
    } else {
      all["listen.front"] = Front(aMachine).Text();
      all["listen.ready"] = Ready(aMachine).Text();
      all["limits.diskMb"] = "0";
    }
    all["internalPortRange"] =
      std::to_string(first_) + "," + std::to_string(first_ + 15);
    all["seeds"] = seeds;
    all["bootstrap"] = aIsBootstrap ? "true" : "false";
    all["countsAsLoss"] = aIsControl ? "true" : "false";
    all["cloud.address"] = Other(39).Text();
    std::ofstream file(aProcess.SettingsFile());
    for (const auto& [name, value] : all) {
      file << name << "=" << value << "\n";
    }
  }
  std::string DataFolder(const std::string& aName) const
  {
    return folder_ + "/" + aName + ".data";
  }

private:
  std::string folder_;
  std::string network_;
  int first_ = 0;
  /// The settings of the sheet honoris-cl, but for the addresses.
  std::map<std::string, std::string> settings_{
    { "limits.cpuShare", "1" },
    { "limits.cores", "1" },
    { "limits.memoryMb", "260" },
    { "limits.fileDescriptors", "4200" },
    { "limits.linkMbps", "1000.0" },
    { "discovery", "registration" },
    { "entry", "directory" },
    { "heartbeatIntervalMs", "1200" },
    { "contracts",
      "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,"
      "leader" },
    { "faultTolerance.machines", "1" },
    { "faultTolerance.zones", "0" },
    { "faultTolerance.regions", "0" },
    { "bounds.seedLagS", "3" },
    { "bounds.reuseAfterS", "2" },
    { "bounds.contactWindowMs", "4000" },
    { "bounds.ackTimeoutMs", "5000" },
    { "bounds.catchUpS", "4" },
    { "bounds.drainMs", "3000" },
    { "bounds.graceS", "8" },
    { "bounds.lossSlackMs", "200" },
    { "bounds.configApplyMs", "3000" },
    { "bounds.rollbackSlackMs", "250" },
    { "bounds.maxStretchMs", "6000" },
    { "bounds.strictRevocation", "false" },
    { "bounds.revokeMs", "5000" },
    { "bounds.retryBudgetRatio", "0.2" },
    { "bounds.budgetWindowS", "10" },
    { "bounds.retryBudgetSlack", "56" },
    { "bounds.quotaWindowS", "8" },
    { "bounds.quotaOvershoot", "0.1" },
    { "bounds.quotaSlack", "72000" },
    { "bounds.requireFencing", "false" },
    { "bounds.leaseMs", "3000" },
    { "bounds.thawSlackMs", "300" },
    { "bounds.usageWindowS", "5" },
    { "bounds.usageTolerance", "0.05" },
    { "bounds.usageLateS", "10" },
    { "bounds.recoveryS", "12" },
    { "bounds.passMs", "400" },
    { "bounds.reuseWindowS", "7.1" },
    { "bounds.ttl_max_s", "5" },
    { "configurationMode", "highest" },
    { "cloud.ratePerS", "50.0" },
    { "cloud.duties", "usage,scaling" },
    { "cloud.dutyPerS", "50.0" },
  };
};

/// The platform's API: accepts all calls.
class Platform
{
public:
  explicit Platform(const Deployment& aDeployment)
    : server_(aDeployment.Other(39), [](const Message& aRequest) {
      RECORD("platform: %s holder %s fence %s %s",
             aRequest.first_.c_str(),
             aRequest.Header("Tanagerstall-Duty-Holder").c_str(),
             aRequest.Header("Tanagerstall-Fence-Token").c_str(),
             aRequest.body_.c_str());
      return Answer("200 OK", { { "Content-Type", "application/json" } }, "{}");
    })
  {
  }

private:
  Server server_;
};

/// A request that a replica ran.
struct Run
{
  long at_ = 0;
  std::string id_;
  std::string tenant_;
  std::string host_;
  std::string target_;
  double tokens_ = 0.0;
};

/// A replica of a plain service. Answers each request after `workMs_`.
class Replica
{
public:
  Replica(std::string aId, std::string aService, Address aAddress)
    : id_(std::move(aId))
    , service_(std::move(aService))
    , born_(WallMs())
    , server_(std::move(aAddress),
              [this](const Message& aRequest) { return Handle(aRequest); })
  {
  }
  const std::string& Id() const { return id_; }
  const Address& At() const { return server_.At(); }

  std::string Beat(const std::string& aState)
  {
    return R"({"service":")" + service_ + R"(","address":")" + At().Text() +
           R"(","zone":"z1","version":"v1","slots":64,"state":")" + aState +
           R"(","coldRemainingMs":0,"sequence":)" +
           std::to_string(++sequence_) + R"(,"born":)" + std::to_string(born_) +
           "}";
  }
  std::string Path() const { return "/tanagerstall/instances/" + id_; }
  std::string Leave() const
  {
    return R"({"born":)" + std::to_string(born_) + "}";
  }

  /// Sends a heartbeat at each interval, to the first control machine that
  /// acknowledges it, until `Silence()`.
  void BeatAt(std::vector<Address> aControls, long aIntervalMs)
  {
    std::thread([this, controls = std::move(aControls), aIntervalMs] {
      while (!isSilent_) {
        std::string beat = Beat("ready");
        for (std::size_t i = 0; i < controls.size() && !isSilent_; ++i) {
          const Address& to = controls[(first_ + i) % controls.size()];
          auto answer = Call(to, "PUT", Path(), Json(), beat, 1000);
          if (answer.Status() / 100 == 2) {
            first_ = (first_ + i) % controls.size();
            break;
          }
        }
        Sleep(aIntervalMs);
      }
    }).detach();
  }
  void Silence() { isSilent_ = true; }
  static Headers Json() { return { { "Content-Type", "application/json" } }; }

  std::vector<Run> Runs()
  {
    std::scoped_lock lock(mutex_);
    return runs_;
  }
  std::atomic<long> workMs_{ 5 };
  /// The part of the requests that fail with a status of 500.
  std::atomic<double> failing_{ 0.0 };

private:
  std::string Handle(const Message& aRequest)
  {
    std::string id = aRequest.Header("Tanagerstall-Request-Id");
    if (aRequest.first_.find("GET /health") == 0) {
      return Answer("200 OK", { { "Tanagerstall-Instance", id_ } }, "");
    }
    if (id.empty()) {
      return Answer(
        "400 Bad Request", { { "Tanagerstall-Not-Executed", "1" } }, "");
    }
    std::string expected = aRequest.Header("Tanagerstall-Expect-Instance");
    if (!expected.empty() && expected != id_) {
      RECORD("%s answers 421 to %s", id_.c_str(), id.c_str());
      return Answer("421 Misdirected Request",
                    { { "Tanagerstall-Request-Id", id },
                      { "Tanagerstall-Instance", id_ } },
                    "");
    }
    Run run;
    run.at_ = Now();
    run.id_ = id;
    run.tenant_ = aRequest.Header("Tanagerstall-Tenant");
    run.host_ = aRequest.Header("Host");
    std::size_t space = aRequest.first_.find(' ');
    run.target_ = aRequest.first_.substr(
      space + 1, aRequest.first_.rfind(' ') - space - 1);
    std::string counts = aRequest.Header("Tanagerstall-Token-Counts");
    auto comma = counts.find(',');
    if (comma != std::string::npos) {
      run.tokens_ =
        std::atof(counts.c_str()) + std::atof(counts.c_str() + comma + 1);
    }
    {
      std::scoped_lock lock(mutex_);
      runs_.push_back(run);
    }
    RECORD("%s runs %s tenant %s tokens %.0f",
           id_.c_str(),
           id.c_str(),
           run.tenant_.c_str(),
           run.tokens_);
    Sleep(workMs_);
    if (failing_ > 0.0 && Draw() < failing_) {
      RECORD("%s fails %s", id_.c_str(), id.c_str());
      return Answer("500 Internal Server Error",
                    { { "Tanagerstall-Request-Id", id },
                      { "Tanagerstall-Response-Seal", id_ + "." + id } },
                    "failed");
    }
    return Answer("200 OK",
                  { { "Tanagerstall-Request-Id", id },
                    { "Tanagerstall-Response-Seal", id_ + "." + id } },
                  "the answer to " + id);
  }

  double Draw()
  {
    std::scoped_lock lock(mutex_);
    return std::uniform_real_distribution<double>()(random_);
  }

  std::string id_;
  std::string service_;
  std::mt19937 random_{ 7 };
  std::int64_t born_;
  std::uint64_t sequence_ = 0;
  std::size_t first_ = 0;
  std::atomic<bool> isSilent_{ false };
  std::mutex mutex_;
  std::vector<Run> runs_;
  Server server_;
};

inline std::string
NewId()
{
  static std::atomic<unsigned> last{ 0 };
  char text[40];
  std::snprintf(text, sizeof(text), "%08x%08x", ::getpid(), ++last);
  return text;
}

/// Sends a configuration to one control machine after another until one
/// acknowledges it. Returns whether that happened in time.
inline bool
PutConfiguration(const std::vector<Address>& aControls,
                 const std::string& aDocument,
                 long aWithinMs)
{
  auto end = Clock::now() + Ms(aWithinMs);
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    const Address& to = aControls[i % aControls.size()];
    auto answer = Call(to,
                       "PUT",
                       "/tanagerstall/configuration",
                       Replica::Json(),
                       aDocument,
                       1000);
    RECORD("operator: PUT configuration at %s -> %d (%.90s)",
           to.Text().c_str(),
           answer.Status(),
           aDocument.c_str());
    if (answer.Status() == 200) {
      return true;
    }
    Sleep(200);
  }
  return false;
}

inline bool
AwaitReady(const Deployment& aDeployment, int aFront, long aWithinMs)
{
  auto end = Clock::now() + Ms(aWithinMs);
  while (Clock::now() < end) {
    if (Call(aDeployment.Ready(aFront),
             "GET",
             "/tanagerstall/readiness",
             {},
             "",
             1000)
          .Status() == 200) {
      return true;
    }
    Sleep(100);
  }
  return false;
}

/// Whether the case is to be played with its disruption.
inline bool
HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace stand

#endif
