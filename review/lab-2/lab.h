// What the cases of this review share: processes, a small HTTP client, the
// record, and a small deployment of real boxes. POSIX only.
//
// All addresses are loopback. Every process that a case starts is ended by its
// id when the Lab is destroyed.

#ifndef REVIEW_LAB_2_LAB_H_
#define REVIEW_LAB_2_LAB_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lab {

inline constexpr int kBroken = 1, kHeld = 0, kNotRun = 2;

inline double Now() {
  timespec t;
  clock_gettime(CLOCK_MONOTONIC, &t);
  return t.tv_sec + t.tv_nsec * 1e-9;
}

inline void SleepUntil(double at) {
  for (double left = at - Now(); left > 0; left = at - Now()) {
    usleep(static_cast<useconds_t>(std::min(left, 0.5) * 1e6));
  }
}

inline bool Trouble() {
  const char* v = getenv("TROUBLE");
  return v == nullptr || strcmp(v, "0") != 0;
}

// record.txt: what was sent, answered and run, with seconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(fopen(file.c_str(), "w")) {}
  ~Record() {
    if (out_ != nullptr) fclose(out_);
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (out_ == nullptr) return;
    fprintf(out_, "%8.3f  ", Now() - started_);
    va_list args;
    va_start(args, format);
    vfprintf(out_, format, args);
    va_end(args);
    fputc('\n', out_);
    fflush(out_);
  }

 private:
  std::mutex mutex_;
  FILE* out_;
  double started_ = Now();
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Answer {
  int status = 0;  // 0: no whole answer
  std::string head;
  std::string body;
  bool whole = false;
  std::string header(const std::string& name) const {
    size_t at = 0;
    while (at < head.size()) {
      size_t end = head.find("\r\n", at);
      if (end == std::string::npos) end = head.size();
      if (end - at > name.size() && head[at + name.size()] == ':' &&
          strncasecmp(head.data() + at, name.data(), name.size()) == 0) {
        size_t from = at + name.size() + 1;
        while (from < end && head[from] == ' ') from++;
        return head.substr(from, end - from);
      }
      at = end + 2;
    }
    return "";
  }
};

// Connects to a loopback port. Returns -1 if that fails within `timeout`.
inline int Connect(int port, double timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  to.sin_port = htons(static_cast<uint16_t>(port));
  int error = 0;
  socklen_t size = sizeof(error);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    pollfd p{fd, POLLOUT, 0};
    const bool ready =
        errno == EINPROGRESS && poll(&p, 1, static_cast<int>(timeout * 1e3)) == 1;
    if (!ready || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
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

// Decodes a chunked body. Returns whether its end was there.
inline bool Unchunk(const std::string& raw, std::string* out) {
  size_t at = 0;
  for (;;) {
    const size_t end = raw.find("\r\n", at);
    if (end == std::string::npos) return false;
    const size_t n = strtoul(raw.c_str() + at, nullptr, 16);
    if (n == 0) return raw.find("\r\n", end + 2) != std::string::npos;
    if (end + 2 + n > raw.size()) {
      out->append(raw, end + 2, std::string::npos);
      return false;
    }
    out->append(raw, end + 2, n);
    at = end + 2 + n + 2;
  }
}

// Reads one answer; the channel is left open.
inline Answer ReadAnswer(int fd, double until) {
  Answer a;
  std::string in;
  size_t body = std::string::npos;
  char buffer[65536];
  bool ended = false;
  for (;;) {
    if (body == std::string::npos) {
      const size_t at = in.find("\r\n\r\n");
      if (at != std::string::npos) {
        a.head = in.substr(0, at);
        body = at + 4;
        a.status = atoi(in.c_str() + 9);
      }
    }
    if (body != std::string::npos) {
      const std::string length = a.header("Content-Length");
      if (!length.empty()) {
        a.whole = in.size() - body >= strtoul(length.c_str(), nullptr, 10);
        a.body = in.substr(body);
      } else if (strcasecmp(a.header("Transfer-Encoding").c_str(), "chunked") ==
                 0) {
        a.body.clear();
        a.whole = Unchunk(in.substr(body), &a.body);
      } else {
        a.body = in.substr(body);
        a.whole = ended;
      }
      if (a.whole) return a;
    }
    const double left = until - Now();
    pollfd p{fd, POLLIN, 0};
    if (ended || left <= 0 || poll(&p, 1, static_cast<int>(left * 1e3) + 1) != 1)
      return a;
    const ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
    if (n <= 0) {
      ended = true;
      if (n < 0) return a;
    } else {
      in.append(buffer, static_cast<size_t>(n));
    }
  }
}

inline std::string Request(const std::string& method, const std::string& target,
                           const Headers& headers, const std::string& body) {
  std::string out = method + " " + target + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& [name, value] : headers) {
    out += name + ": " + value + "\r\n";
    host = host || strcasecmp(name.c_str(), "Host") == 0;
  }
  if (!host) out += "Host: 127.0.0.1\r\n";
  if (!body.empty() || method == "PUT" || method == "POST")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

// One request on a channel of its own.
inline Answer Call(int port, const std::string& method,
                   const std::string& target, const Headers& headers = {},
                   const std::string& body = "", double timeout = 5) {
  const double until = Now() + timeout;
  const int fd = Connect(port, std::min(1.0, timeout));
  if (fd < 0) return {};
  Answer a;
  if (WriteAll(fd, Request(method, target, headers, body)))
    a = ReadAnswer(fd, until);
  close(fd);
  return a;
}

inline int FreePort() {
  static std::vector<int> held;  // kept until the end, so that all differ
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(at);
  bind(fd, reinterpret_cast<sockaddr*>(&at), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  const int port = ntohs(at.sin_port);
  if (std::find(held.begin(), held.end(), port) != held.end())
    return FreePort();
  held.push_back(port);
  return port;
}

inline std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

// Processes in a temporary folder. The working folder is the repository's root,
// as for the deployed program.
class Lab {
 public:
  explicit Lab(const std::string& root) : root_(root) {
    char pattern[] = "/tmp/pinford-review.XXXXXX";
    folder_ = mkdtemp(pattern);
  }
  ~Lab() {
    for (const auto& [name, pid] : running_) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    if (getenv("KEEP") != nullptr) {
      fprintf(stderr, "kept: %s\n", folder_.c_str());
      return;
    }
    for (const std::string& file : files_) unlink(file.c_str());
    rmdir(folder_.c_str());
  }
  Lab(const Lab&) = delete;
  Lab& operator=(const Lab&) = delete;

  std::string File(const std::string& name) {
    const std::string path = folder_ + "/" + name;
    if (std::find(files_.begin(), files_.end(), path) == files_.end())
      files_.push_back(path);
    return path;
  }

  pid_t Start(const std::string& name, const std::vector<std::string>& words) {
    const std::string log = File(name + ".log");
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      if (chdir(root_.c_str()) != 0) _exit(127);
      std::vector<char*> argv;
      for (const std::string& w : words)
        argv.push_back(const_cast<char*>(w.c_str()));
      argv.push_back(nullptr);
      execv(argv[0], argv.data());
      _exit(127);
    }
    running_[name] = pid;
    return pid;
  }
  void Signal(const std::string& name, int signal) {
    kill(running_.at(name), signal);
  }
  // SIGKILL, and waits for its end.
  void Kill(const std::string& name) {
    const pid_t pid = running_.at(name);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
    running_.erase(name);
  }
  // Whether the process has ended by itself; `status` as of waitpid.
  bool HasEnded(const std::string& name, int* status) {
    const auto it = running_.find(name);
    if (it == running_.end()) return true;
    if (waitpid(it->second, status, WNOHANG) != it->second) return false;
    running_.erase(it);
    return true;
  }
  const std::string& root() const { return root_; }

 private:
  std::string root_;
  std::string folder_;
  std::vector<std::string> files_;
  std::map<std::string, pid_t> running_;
};

// The addresses and settings of one box.
struct Box {
  std::string name;
  std::string hall = "h1";
  int callers = FreePort(), ready = FreePort(), operators = FreePort(),
      peers = FreePort();
  int store = 0;  // where it reaches the store
  std::vector<int> seeds;

  // As deploy/settings.yaml fills them for bounds of a small deployment.
  std::string Settings() const {
    std::string s = "box: " + name + "\nhall: " + hall + "\n";
    s += "listen:\n  callers: " + At(callers) + "\n  ready: " + At(ready) +
         "\n  operators: " + At(operators) + "\n  peers: " + At(peers) + "\n";
    s += "keys:\n  operators: \"not-used-by-forwarding-boxes\"\n"
         "  peers: \"pinford-peers-of-one-deployment\"\n";
    s += "store: " + At(store) + "\ngossip: {bytes_per_second: 2000}\nseeds: [";
    for (size_t i = 0; i < seeds.size(); i++)
      s += (i > 0 ? ", " : "") + At(seeds[i]);
    s += "]\npolicy: deploy/policy.lua\nlog: {level: info, format: json}\n";
    s += "forward:\n  key_proof_ms: 5000 ms\n  retry_window_ms: 10 s\n"
         "  retry_ratio: 0.2\n  retry_extra: 200\n";
    s += "stop:\n  listen_ms: 2500\n  latest_ms: 8 s\n";
    return s;
  }
};

inline void StartBox(Lab* lab, const Box& box) {
  const std::string file = lab->File(box.name + ".yaml");
  std::ofstream(file) << box.Settings();
  lab->Start(box.name, {lab->root() + "/target/pinford", "forward",
                        "--settings=" + file});
}

inline bool WaitFor(double seconds, const auto& condition) {
  const double until = Now() + seconds;
  while (Now() < until) {
    if (condition()) return true;
    usleep(20000);
  }
  return false;
}

inline bool IsReady(const Box& box) {
  return Call(box.ready, "GET", "/readiness", {}, "", 1).status == 200;
}

}  // namespace lab

#endif  // REVIEW_LAB_2_LAB_H_
