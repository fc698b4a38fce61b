// Stand-ins and helpers for the cases of this review: a recorder, HTTP/1.1 over
// blocking sockets with a thread for each connection, the platform's metadata
// store, model runners and plain servers, clients, and boxes as processes.
//
// All addresses are on loopback. Nothing here depends on pinford's sources.

#ifndef REVIEW_LAB_LAB_H_
#define REVIEW_LAB_LAB_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using Json = nlohmann::json;

constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;  // exit codes

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline bool Trouble() {
  const char* text = getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

// Writes record.txt, a line for each thing sent, answered or run.
class Recorder {
 public:
  bool Open(const std::string& file) {
    file_ = fopen(file.c_str(), "w");
    return file_ != nullptr;
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    fprintf(file_, "%9.3f s  ", Now());
    va_list args;
    va_start(args, format);
    vfprintf(file_, format, args);
    va_end(args);
    fputc('\n', file_);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};

inline Recorder& Rec() {
  static Recorder recorder;
  return recorder;
}

inline double Random01() {
  thread_local std::mt19937_64 engine(std::random_device{}());
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

inline std::string NewId() {
  static std::atomic<uint64_t> next{1};
  char text[32];
  snprintf(text, sizeof(text), "%08x%08x",
           static_cast<unsigned>(Random01() * 4e9),
           static_cast<unsigned>(next++));
  return text;
}

// --- sockets ---------------------------------------------------------------

inline sockaddr_in Loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

inline std::string HostPort(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Free ports, all different, below those that the kernel gives to clients.
inline std::vector<int> FreePorts(int count) {
  static std::mt19937 engine(std::random_device{}());
  static std::set<int> given;
  std::uniform_int_distribution<int> any(12000, 31999);
  std::vector<int> ports;
  while (ports.size() < static_cast<size_t>(count)) {
    const int port = any(engine);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = Loopback(port);
    const bool free =
        bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
    close(fd);
    if (free && given.insert(port).second) ports.push_back(port);
  }
  return ports;
}

inline int Dial(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

inline bool WriteAll(int fd, const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

// Whether the peer has closed or reset the connection.
inline bool PeerHasLeft(int fd) {
  char c;
  const ssize_t n = recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

// --- HTTP/1.1 --------------------------------------------------------------

struct Message {
  std::string start;  // the request line or the status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool complete = false;  // the whole body has arrived

  std::string Header(const std::string& name) const {
    for (const auto& [n, v] : headers) {
      if (strcasecmp(n.c_str(), name.c_str()) == 0) return v;
    }
    return "";
  }
  bool Has(const std::string& name) const {
    for (const auto& [n, v] : headers) {
      if (strcasecmp(n.c_str(), name.c_str()) == 0) return true;
    }
    return false;
  }
  int Status() const { return start.size() > 12 ? atoi(start.c_str() + 9) : 0; }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const size_t a = start.find(' ');
    const size_t b = start.find(' ', a + 1);
    return a == std::string::npos ? "" : start.substr(a + 1, b - a - 1);
  }
};

// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // False if the connection ended, or `until` passed, before a whole head.
  bool ReadHead(Message* m, double until) {
    size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    const std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    size_t at = head.find("\r\n");
    m->start = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      const size_t eol = head.find("\r\n", at);
      const std::string line = head.substr(at, eol - at);
      at = eol + 2;
      const size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') value++;
      m->headers.emplace_back(line.substr(0, colon), line.substr(value));
    }
    return true;
  }

  // Reads the body into m->body. m->complete tells whether all of it came.
  void ReadBody(Message* m, bool is_response, double until) {
    if (strcasecmp(m->Header("Transfer-Encoding").c_str(), "chunked") == 0) {
      ReadChunks(m, until);
      return;
    }
    if (m->Has("Content-Length")) {
      const size_t size =
          strtoull(m->Header("Content-Length").c_str(), nullptr, 10);
      while (buffer_.size() < size) {
        if (!Fill(until)) {
          m->body = buffer_;
          return;
        }
      }
      m->body = buffer_.substr(0, size);
      buffer_.erase(0, size);
      m->complete = true;
      return;
    }
    if (!is_response) {
      m->complete = true;
      return;
    }
    while (Fill(until)) {
    }
    m->body = buffer_;
    m->complete = closed_;
  }

  bool closed() const { return closed_; }

 private:
  void ReadChunks(Message* m, double until) {
    for (;;) {
      size_t eol;
      while ((eol = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill(until)) return;
      }
      const size_t size = strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < eol + 2 + size + 2) {
        if (!Fill(until)) {
          if (buffer_.size() > eol + 2)
            m->body += buffer_.substr(eol + 2, size);
          return;
        }
      }
      m->body += buffer_.substr(eol + 2, size);
      buffer_.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        m->complete = true;
        return;
      }
    }
  }

  bool Fill(double until) {
    const double left = until - Now();
    if (left <= 0) return false;
    pollfd p{fd_, POLLIN, 0};
    if (poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      closed_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
  bool closed_ = false;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string WriteHead(const std::string& start, const Headers& headers) {
  std::string out = start + "\r\n";
  for (const auto& [n, v] : headers) out += n + ": " + v + "\r\n";
  return out + "\r\n";
}

inline std::string Answer(int status, Headers headers,
                          const std::string& body) {
  headers.emplace_back("Content-Length", std::to_string(body.size()));
  return WriteHead("HTTP/1.1 " + std::to_string(status) + " Status", headers) +
         body;
}

inline std::string Chunk(const std::string& bytes) {
  char size[16];
  snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Accepts connections, each with a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;
  void Listen(int port, Handler handler) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at = Loopback(port);
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(listener_, 512) != 0) {
      fprintf(stderr, "cannot listen on %d\n", port);
      exit(kCouldNotRun);
    }
    std::thread([this, handler] {
      for (;;) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([handler, fd] {
          handler(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }

 private:
  int listener_ = -1;
};

constexpr double kForever = 1e9;

// --- the platform's metadata store -----------------------------------------

inline std::string EncodeBase64(const std::string& in) {
  static const char kSet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t v = 0;
    for (size_t k = 0; k < 3; k++)
      v = v << 8 | (i + k < in.size() ? static_cast<uint8_t>(in[i + k]) : 0);
    const size_t n = std::min<size_t>(3, in.size() - i);
    for (size_t k = 0; k < 4; k++)
      out += k <= n ? kSet[v >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

inline std::string DecodeBase64(const std::string& in) {
  std::string out;
  uint32_t v = 0;
  int bits = 0;
  for (const char c : in) {
    int d;
    if (c >= 'A' && c <= 'Z')
      d = c - 'A';
    else if (c >= 'a' && c <= 'z')
      d = c - 'a' + 26;
    else if (c >= '0' && c <= '9')
      d = c - '0' + 52;
    else if (c == '+')
      d = 62;
    else if (c == '/')
      d = 63;
    else
      break;
    v = v << 6 | static_cast<uint32_t>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}

inline std::string Unescape(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); i++) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out +=
          static_cast<char>(strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

inline std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> out;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = target.find('&', at + 1);
    const std::string part =
        target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const size_t eq = part.find('=');
    if (eq != std::string::npos)
      out[part.substr(0, eq)] = Unescape(part.substr(eq + 1));
    at = end;
  }
  return out;
}

// Sound and never down: linearizable, keeps its whole history.
class Store {
 public:
  void Start(int port) {
    port_ = port;
    server_.Listen(port, [this](int fd) { Serve(fd); });
  }
  int port() const { return port_; }

  // As the operator and the servers write.
  uint64_t Put(const std::string& key, const std::string& value) {
    std::lock_guard lock(mutex_);
    return Write(key, value, 0);
  }

 private:
  struct Item {
    std::string value;
    uint64_t rev = 0, made = 0, lease = 0;
  };
  struct Event {
    uint64_t rev;
    std::string key;
    bool gone;
    Item item;
  };

  uint64_t Write(const std::string& key, const std::string& value,
                 uint64_t lease) {
    Item& item = items_[key];
    rev_++;
    if (item.made == 0) item.made = rev_;
    item.value = value;
    item.rev = rev_;
    item.lease = lease;
    history_.push_back({rev_, key, false, item});
    changed_.notify_all();
    return rev_;
  }
  void Remove(const std::string& key) {
    if (items_.erase(key) == 0) return;
    rev_++;
    history_.push_back({rev_, key, true, {}});
    changed_.notify_all();
  }
  void ExpireLeases() {
    const double now = Now();
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.second > now) {
        ++it;
        continue;
      }
      EndLease(it->first);
      it = leases_.erase(it);
    }
  }
  void EndLease(uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [k, item] : items_) {
      if (item.lease == id) keys.push_back(k);
    }
    for (const std::string& k : keys) Remove(k);
  }
  static Json ItemJson(const std::string& key, const Item& item) {
    return {{"tlsKey", key},
            {"value", EncodeBase64(item.value)},
            {"rev", item.rev},
            {"made", item.made},
            {"lease", item.lease}};
  }
  static std::string Ok(const Json& v) {
    return Answer(200, {{"Content-Type", "application/json"}}, v.dump());
  }
  static std::string Status(int status) {
    return Answer(status, {{"Content-Type", "application/json"}}, "{}");
  }

  void Serve(int fd) {
    Reader reader(fd);
    for (;;) {
      Message m;
      if (!reader.ReadHead(&m, kForever)) return;
      reader.ReadBody(&m, false, kForever);
      SleepMs(4);
      if (!WriteAll(fd, Handle(m))) return;
    }
  }

  std::string Handle(const Message& m) {
    const std::string target = m.Target();
    const std::string path = target.substr(0, target.find('?'));
    auto query = QueryOf(target);
    std::unique_lock lock(mutex_);
    ExpireLeases();
    if (path == "/kv-key") {
      const auto it = items_.find(query["tlsKey"]);
      return it == items_.end() ? Status(404)
                                : Ok(ItemJson(it->first, it->second));
    }
    if (path == "/kv-range") {
      Json items = Json::array();
      for (const auto& [k, item] : items_) {
        if (k.rfind(query["pathPrefix"], 0) == 0 && k > query["sinceRev"])
          items.push_back(ItemJson(k, item));
      }
      return Ok({{"items", items}, {"more", false}, {"at", rev_}});
    }
    if (path == "/kv-watch") return Watch(query, &lock);
    const Json body = Json::parse(m.body, nullptr, false);
    if (path == "/kv-txn") return Txn(body);
    if (path == "/kv-lease") {
      const double ttl = body.value("ttl_ms", 1000.0);
      const uint64_t id = ++next_lease_;
      leases_[id] = {ttl / 1000, Now() + ttl / 1000};
      return Ok({{"lease", id}, {"ttl_ms", ttl}});
    }
    const uint64_t id =
        strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
    const auto lease = leases_.find(id);
    if (lease == leases_.end()) return Status(404);
    if (path.rfind("/kv-keep/", 0) == 0) {
      lease->second.second = Now() + lease->second.first;
      return Ok({{"ttl_ms", lease->second.first * 1000}});
    }
    EndLease(id);
    leases_.erase(id);
    return Ok(Json::object());
  }

  std::string Watch(std::map<std::string, std::string>& query,
                    std::unique_lock<std::mutex>* lock) {
    const std::string prefix = query["pathPrefix"];
    const uint64_t since = strtoull(query["sinceRev"].c_str(), nullptr, 10);
    const double until = Now() + atof(query["waitMs"].c_str()) / 1000;
    for (;;) {
      ExpireLeases();
      Json events = Json::array();
      for (const Event& e : history_) {
        if (e.rev <= since || e.key.rfind(prefix, 0) != 0) continue;
        if (e.gone) {
          events.push_back({{"tlsKey", e.key}, {"rev", e.rev}, {"gone", true}});
        } else {
          events.push_back(ItemJson(e.key, e.item));
        }
      }
      const double left = until - Now();
      if (!events.empty() || left <= 0)
        return Ok({{"events", events}, {"at", rev_}});
      changed_.wait_for(*lock,
                        std::chrono::duration<double>(std::min(left, 0.2)));
    }
  }

  std::string Txn(const Json& body) {
    Json now = Json::array();
    bool ok = true;
    for (const Json& e : body.value("expectRev", Json::array())) {
      const std::string key = e.value("tlsKey", "");
      const auto it = items_.find(key);
      const uint64_t rev = it == items_.end() ? 0 : it->second.rev;
      if (rev != e.value("rev", uint64_t{0})) ok = false;
      if (it != items_.end()) now.push_back(ItemJson(key, it->second));
    }
    if (!ok) {
      return Answer(412, {{"Content-Type", "application/json"}},
                    Json{{"items", now}}.dump());
    }
    for (const Json& p : body.value("put", Json::array())) {
      const uint64_t lease = p.value("lease", uint64_t{0});
      if (lease != 0 && leases_.find(lease) == leases_.end())
        return Status(404);
      Write(p.value("tlsKey", ""), DecodeBase64(p.value("value", "")), lease);
    }
    for (const Json& k : body.value("delete", Json::array()))
      Remove(k.get<std::string>());
    return Ok({{"rev", rev_}});
  }

  int port_ = 0;
  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Event> history_;
  std::map<uint64_t, std::pair<double, double>> leases_;  // ttl, end
  uint64_t rev_ = 1;
  uint64_t next_lease_ = 100;
};

// --- boxes -----------------------------------------------------------------

struct BoxPorts {
  int callers, ready, operators, peers;
};

// pinford as a process, started with the command of the deploy file.
class Box {
 public:
  Box(std::string name, std::string hall, BoxPorts ports, std::string directory)
      : name_(std::move(name)),
        hall_(std::move(hall)),
        ports_(ports),
        directory_(std::move(directory)) {}

  const std::string& name() const { return name_; }
  const BoxPorts& ports() const { return ports_; }
  pid_t pid() const { return pid_; }

  // deploy/settings.yaml, filled in.
  void WriteSettings(int store, const std::vector<int>& seeds) const {
    std::ofstream out(File("yaml"));
    out << "box: \"" << name_ << "\"\nhall: \"" << hall_ << "\"\nlisten:\n"
        << "  callers: \"" << HostPort(ports_.callers) << "\"\n"
        << "  ready: \"" << HostPort(ports_.ready) << "\"\n"
        << "  operators: \"" << HostPort(ports_.operators) << "\"\n"
        << "  peers: \"" << HostPort(ports_.peers) << "\"\n"
        << "keys:\n  operators: \"not-used-by-forwarding-boxes\"\n"
        << "  peers: \"pinford-peers-of-one-deployment\"\n"
        << "store: \"" << HostPort(store) << "\"\n"
        << "gossip: {bytes_per_second: 2000}\nseeds: [";
    for (size_t i = 0; i < seeds.size(); i++)
      out << (i > 0 ? "," : "") << '"' << HostPort(seeds[i]) << '"';
    out << "]\npolicy: deploy/policy.lua\nlog: {level: info, format: json}\n"
        << "forward:\n  key_proof_ms: 5000 ms\n  retry_window_ms: 10 s\n"
        << "  retry_ratio: 0.2\n  retry_extra: 200\n"
        << "stop:\n  listen_ms: 2500\n  latest_ms: 8 s\n";
  }

  void Start() {
    const std::string log = File("log");
    const std::string settings = "--settings=" + File("yaml");
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      FILE* out = freopen(log.c_str(), "a", stdout);
      FILE* err = freopen(log.c_str(), "a", stderr);
      if (out == nullptr || err == nullptr) _exit(127);
      execl("target/pinford", "target/pinford", "forward", settings.c_str(),
            static_cast<char*>(nullptr));
      _exit(127);
    }
    Rec().Line("box %s starts, process %d", name_.c_str(), pid_);
  }

  void Signal(int signal) {
    if (pid_ <= 0) return;
    Rec().Line("box %s gets signal %d (%s)", name_.c_str(), signal,
               strsignal(signal));
    kill(pid_, signal);
  }

  // Whether the process still runs.
  bool Running() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
    Rec().Line("box %s has ended, status %d", name_.c_str(), status);
    pid_ = -1;
    return false;
  }

  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }

  bool Ready() const {
    const int fd = Dial(ports_.ready);
    if (fd < 0) return false;
    WriteAll(fd, WriteHead("GET /readiness HTTP/1.1",
                           {{"Host", "x"}, {"Connection", "close"}}));
    Reader reader(fd);
    Message m;
    const bool ok = reader.ReadHead(&m, Now() + 1) && m.Status() == 200;
    close(fd);
    return ok;
  }

 private:
  std::string File(const char* extension) const {
    return directory_ + "/" + name_ + "." + extension;
  }
  std::string name_, hall_;
  BoxPorts ports_;
  std::string directory_;
  pid_t pid_ = -1;
};

// The fleet of a case.
class Fleet {
 public:
  explicit Fleet(int boxes, int halls = 1) {
    char pattern[] = "/tmp/pinford-review.XXXXXX";
    directory_ = mkdtemp(pattern);
    store_.Start(FreePorts(1)[0]);
    const std::vector<int> ports = FreePorts(4 * boxes);
    for (int i = 0; i < boxes; i++) {
      const BoxPorts p{ports[4 * i], ports[4 * i + 1], ports[4 * i + 2],
                       ports[4 * i + 3]};
      boxes_.push_back(std::make_unique<Box>("box-" + std::to_string(i + 1),
                                             Hall(i % halls), p, directory_));
    }
  }

  // Ends all boxes and the case, without waiting for threads of the stand-ins.
  [[noreturn]] void Exit(int code) {
    for (auto& b : boxes_) b->Kill();
    if (getenv("KEEP") == nullptr) std::filesystem::remove_all(directory_);
    fflush(nullptr);
    _exit(code);
  }

  static std::string Hall(int i) {
    return "hall-" + std::string(1, char('a' + i));
  }
  Store& store() { return store_; }
  Box& box(size_t i) { return *boxes_[i]; }
  size_t size() const { return boxes_.size(); }

  void StartBoxes() {
    std::vector<int> seeds;
    for (size_t i = 0; i < std::min<size_t>(3, boxes_.size()); i++)
      seeds.push_back(boxes_[i]->ports().peers);
    for (auto& b : boxes_) {
      b->WriteSettings(store_.port(), seeds);
      b->Start();
    }
  }
  bool WaitReady(double seconds) {
    const double until = Now() + seconds;
    while (Now() < until) {
      bool all = true;
      for (auto& b : boxes_) all = all && b->Ready();
      if (all) return true;
      SleepMs(50);
    }
    return false;
  }

 private:
  std::string directory_;
  Store store_;
  std::vector<std::unique_ptr<Box>> boxes_;
};

}  // namespace lab

#endif  // REVIEW_LAB_LAB_H_
