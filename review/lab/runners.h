// Model runners that hold ranges of layers, and plain servers.
//
// A runner records itself in the store, takes `place` and `repath` orders with
// their checks (fence, seq), rejects a request whose path it or a later runner
// can't run, and otherwise makes its first token after `first_token_ms`, which
// is when the run begins, and then an event each `event_ms`. It drops a request
// whose channel closes. Faults are switched on by the case.

#ifndef REVIEW_LAB_RUNNERS_H_
#define REVIEW_LAB_RUNNERS_H_

#include "lab.h"

namespace lab {

struct Run {
  std::string runner;
  double at;
};

// What the servers ran, by request id.
class Runs {
 public:
  void Add(const std::string& id, const std::string& runner) {
    Rec().Line("runner %s runs request %s", runner.c_str(), id.c_str());
    std::lock_guard lock(mutex_);
    runs_[id].push_back({runner, Now()});
  }
  std::map<std::string, std::vector<Run>> All() {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  std::vector<Run> Of(const std::string& id) {
    std::lock_guard lock(mutex_);
    return runs_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
};

struct Range {
  int begin = 0, end = 0;
  bool Contains(const Range& o) const {
    return begin <= o.begin && o.end <= end;
  }
  bool operator==(const Range&) const = default;
};

struct EngineOptions {
  int layers = 8;
  double layer_mb = 1000, mb = 6000, load_s = 2;
  int token_bytes = 8000;
  int64_t first_token_ms = 60, event_ms = 15;
  int events = 12;
  double memory_tokens_x_layers() const {
    // Beside the layers that the planner lets a runner hold, half of them all.
    return (mb - layer_mb * layers / 2) * 1e6 / token_bytes * layers;
  }
};

inline std::string EventText(const std::string& id, int n) {
  return "id: " + std::to_string(n) + "\ndata: " + id + " part " +
         std::to_string(n) + "\n\n";
}

inline std::string WholeStream(const std::string& id, int events) {
  std::string out;
  for (int n = 1; n <= events; n++) out += EventText(id, n);
  return out;
}

class Runner;

// All runners by address.
class Pool {
 public:
  Runner* At(const std::string& address) {
    std::lock_guard lock(mutex_);
    const auto it = runners_.find(address);
    return it == runners_.end() ? nullptr : it->second;
  }
  void Add(const std::string& address, Runner* r) {
    std::lock_guard lock(mutex_);
    runners_[address] = r;
  }
  std::atomic<bool> first_request{false};

 private:
  std::mutex mutex_;
  std::map<std::string, Runner*> runners_;
};

struct PathPart {
  std::string address;
  Range range;
};

inline std::vector<PathPart> ParsePath(const std::string& text) {
  std::vector<PathPart> out;
  size_t at = 0;
  while (at < text.size()) {
    const size_t end = std::min(text.find(',', at), text.size());
    const std::string part = text.substr(at, end - at);
    const size_t eq = part.find('=');
    const size_t dash = part.find('-', eq);
    out.push_back(
        {part.substr(0, eq),
         {atoi(part.c_str() + eq + 1), atoi(part.c_str() + dash + 1)}});
    at = end + 1;
  }
  return out;
}

// Faults of one runner. Each applies to a share of what it answers.
struct RunnerFaults {
  std::atomic<double> shed{0};           // rejects that share, health good
  std::atomic<double> second_answer{0};  // a copy of the answer follows late
  std::atomic<double> encoded{0};        // the answer comes compressed
};

class Runner {
 public:
  Runner(std::string id, std::string hall, int port, Store* store, Pool* pool,
         Runs* runs, const EngineOptions& engine)
      : id_(std::move(id)),
        hall_(std::move(hall)),
        address_(HostPort(port)),
        store_(store),
        pool_(pool),
        runs_(runs),
        engine_(engine) {
    pool_->Add(address_, this);
    server_.Listen(port, [this](int fd) { Serve(fd); });
    WriteEntry();
  }

  const std::string& id() const { return id_; }
  RunnerFaults& faults() { return faults_; }
  Range holds() {
    std::lock_guard lock(mutex_);
    return holds_;
  }
  int64_t rejected() const { return rejected_; }
  int64_t second_answers() const { return second_answers_; }
  int64_t encoded_answers() const { return encoded_answers_; }

 private:
  // A connection, which a late second answer may outlive.
  struct Channel {
    std::mutex mutex;
    int fd = -1;
    bool answering = false;  // an answer is being written
    bool closed = false;
  };
  using ChannelPtr = std::shared_ptr<Channel>;
  struct Stream {
    std::vector<PathPart> path;
  };

  Json StateJson() {
    return {
        {"stage", "dual"},
        {"kind", "big"},
        {"models",
         Json::array(
             {{{"name", "m0"}, {"version", 1}, {"adapters", Json::array()}}})},
        {"layers",
         {{"source", holds_.begin},
          {"targetVersion", holds_.end},
          {"version", 1}}}};
  }

  void WriteEntry() {
    Json entry;
    {
      std::lock_guard lock(mutex_);
      entry = StateJson();
      entry["seq"] = ++beats_;
    }
    entry["service"] = "pool";
    entry["address"] = address_;
    entry["zone"] = hall_;
    entry["version"] = 1;
    entry["slots"] = 192;
    entry["state"] = "ready";
    entry["coldLeftMs"] = 0;
    store_->Put("servers/" + id_, entry.dump());
  }

  void Serve(int fd) {
    auto channel = std::make_shared<Channel>();
    channel->fd = fd;
    Reader reader(fd);
    for (;;) {
      Message m;
      if (!reader.ReadHead(&m, kForever)) break;
      reader.ReadBody(&m, false, kForever);
      if (!m.complete || !Handle(channel, m)) break;
    }
    std::lock_guard lock(channel->mutex);
    channel->closed = true;
  }

  bool Handle(const ChannelPtr& c, const Message& m) {
    if (m.Target() == "/report") return Write(c, Report());
    if (m.Target() == "/order")
      return Write(c, Order(Json::parse(m.body, nullptr, false)));
    return HandleRequest(c, m);
  }

  static bool Write(const ChannelPtr& c, const std::string& bytes) {
    std::lock_guard lock(c->mutex);
    return WriteAll(c->fd, bytes);
  }

  std::string Report() {
    std::lock_guard lock(mutex_);
    Json v = StateJson();
    v["busySlots"] = busy_;
    v["seq"] = seq_;
    v["queueDepth"] = 0;
    v["inFlight"] = static_cast<int>(streams_.size());
    v["kvUsed"] = static_cast<int64_t>(used_);
    v["kvTotal"] = static_cast<int64_t>(engine_.memory_tokens_x_layers());
    v["handles"] = 0;
    v["pace"] = 1.0;
    return Answer(200, {{"Content-Type", "application/json"}}, v.dump());
  }

  std::string Order(const Json& v) {
    std::lock_guard lock(mutex_);
    if (!v.is_object()) return Answer(400, {}, "");
    const std::string op = v.value("op", "");
    if (op == "repath") {
      const auto it = streams_.find(v.value("id", ""));
      if (it == streams_.end()) return Answer(404, {}, "");
      it->second.path = ParsePath(v.value("path", ""));
      return Answer(200, {}, "");
    }
    if (op != "place") return Answer(400, {}, "");
    const uint64_t fence = v.value("fence", uint64_t{0});
    if (fence < fence_) return Answer(412, {}, "");
    const Range range{v.value("source", 0), v.value("targetVersion", 0)};
    if (v.contains("expectRev") && v["expectRev"].get<uint64_t>() != seq_)
      return Answer(409, {}, "");
    if (busy_) return Answer(409, {}, "");
    fence_ = std::max(fence_, fence);
    if (range == holds_) return Answer(200, {}, "");
    seq_++;
    busy_ = true;
    Rec().Line("runner %s is ordered to hold layers %d-%d", id_.c_str(),
               range.begin, range.end);
    const double share =
        static_cast<double>(range.end - range.begin) / engine_.layers;
    const double load =
        engine_.load_s * share * (pool_->first_request ? 1 : 0.1);
    std::thread([this, range, load] {
      SleepMs(static_cast<int64_t>(load * 1000));
      {
        std::lock_guard inner(mutex_);
        holds_ = range;
        busy_ = false;
      }
      WriteEntry();
    }).detach();
    return Answer(202, {}, "");
  }

  // Sends a whole answer, and with the fault its copy late.
  bool Send(const ChannelPtr& c, const std::string& request,
            const std::string& answer) {
    if (!Write(c, answer)) return false;
    if (Random01() >= faults_.second_answer) return true;
    second_answers_++;
    std::thread([this, c, request, answer] {
      SleepMs(20);
      std::lock_guard lock(c->mutex);
      if (c->closed || c->answering) return;
      WriteAll(c->fd, answer);
      Rec().Line("runner %s sends a second, surplus answer to request %s",
                 id_.c_str(), request.c_str());
    }).detach();
    return true;
  }

  bool Reject(const ChannelPtr& c, const Message& m, int status,
              const std::string& at_fault) {
    const std::string request = m.Header("Request-Id");
    rejected_++;
    Rec().Line("runner %s rejects request %s: %d, not executed, at %s",
               id_.c_str(), request.c_str(), status, at_fault.c_str());
    Headers headers = {{"Request-Id", request},
                       {"Not-Executed", "1"},
                       {"At-Server", at_fault}};
    if (status == 421) headers.emplace_back("Instance-Id", id_);
    return Send(c, request, Answer(status, headers, ""));
  }

  bool Sheds() { return Random01() < faults_.shed; }

  // Takes memory for a prompt; false if there is not enough.
  bool Reserve(double tokens_x_layers) {
    std::lock_guard lock(mutex_);
    if (used_ + tokens_x_layers > engine_.memory_tokens_x_layers())
      return false;
    used_ += tokens_x_layers;
    return true;
  }
  void Free(double tokens_x_layers) {
    std::lock_guard lock(mutex_);
    used_ -= tokens_x_layers;
  }

  // The memory that a request has at the runners of its path.
  class Memory {
   public:
    explicit Memory(double tokens) : tokens_(tokens) {}
    ~Memory() {
      for (auto& [r, size] : taken_) r->Free(size);
    }
    bool Take(Runner* r, const Range& range) {
      const double size = tokens_ * (range.end - range.begin);
      if (!r->Reserve(size)) return false;
      taken_.emplace_back(r, size);
      return true;
    }

   private:
    double tokens_;
    std::vector<std::pair<Runner*, double>> taken_;
  };

  bool HandleRequest(const ChannelPtr& c, const Message& m) {
    pool_->first_request = true;
    const std::string request = m.Header("Request-Id");
    Rec().Line("request %s reaches runner %s, path %s, last event %s",
               request.c_str(), id_.c_str(), m.Header("Path").c_str(),
               m.Header("Last-Event-Id").c_str());
    const std::string expected = m.Header("Expect-Instance");
    if (!expected.empty() && expected != id_)
      return Reject(c, m, 421, address_);
    std::vector<PathPart> path = ParsePath(m.Header("Path"));
    if (path.empty()) path = {{address_, {0, engine_.layers}}};
    Memory memory(atof(m.Header("Token-Count").c_str()));
    for (const PathPart& part : path) {
      Runner* r = pool_->At(part.address);
      if (r == nullptr || !r->holds().Contains(part.range))
        return Reject(c, m, 421, part.address);
      if (r->Sheds() || !memory.Take(r, part.range))
        return Reject(c, m, 503, part.address);
    }
    {
      std::lock_guard lock(mutex_);
      streams_[request] = {path};
    }
    const bool sent = RunStream(c, m, request);
    std::lock_guard lock(mutex_);
    streams_.erase(request);
    return sent;
  }

  bool RunStream(const ChannelPtr& c, const Message& m,
                 const std::string& request) {
    // A second answer may come until the first token is made.
    for (int64_t waited = 0; waited < engine_.first_token_ms; waited += 5) {
      SleepMs(5);
      if (PeerHasLeft(c->fd)) {
        Rec().Line(
            "runner %s drops request %s before it has begun: its channel "
            "is closed",
            id_.c_str(), request.c_str());
        return false;
      }
    }
    {
      std::lock_guard lock(c->mutex);
      c->answering = true;
    }
    runs_->Add(request, id_);
    const int first = atoi(m.Header("Last-Event-Id").c_str()) + 1;
    const bool sent = Random01() < faults_.encoded
                          ? WriteEncoded(c, request, first)
                          : WriteEvents(c, request, first);
    std::lock_guard lock(c->mutex);
    c->answering = false;
    return sent;
  }

  Headers StreamHeaders(const std::string& request) const {
    return {{"Request-Id", request},
            {"Response-Seal", "seal." + id_ + "." + request},
            {"Content-Type", "text/event-stream"},
            {"Transfer-Encoding", "chunked"}};
  }

  bool WriteEvents(const ChannelPtr& c, const std::string& request, int first) {
    std::string all = WriteHead("HTTP/1.1 200 OK", StreamHeaders(request));
    if (!Write(c, all)) return false;
    for (int n = first; n <= engine_.events; n++) {
      const std::string chunk = Chunk(EventText(request, n));
      all += chunk;
      if (!Write(c, chunk) || PeerHasLeft(c->fd)) {
        Rec().Line("runner %s: the channel of request %s is closed at event %d",
                   id_.c_str(), request.c_str(), n);
        return false;
      }
      SleepMs(engine_.event_ms);
    }
    all += "0\r\n\r\n";
    if (!Write(c, "0\r\n\r\n")) return false;
    Rec().Line("runner %s has answered request %s whole", id_.c_str(),
               request.c_str());
    return true;
  }

  static uint32_t Crc32(const std::string& bytes) {
    uint32_t crc = 0xffffffff;
    for (const char b : bytes) {
      crc ^= static_cast<uint8_t>(b);
      for (int k = 0; k < 8; k++) crc = crc >> 1 ^ (crc & 1 ? 0xedb88320 : 0);
    }
    return ~crc;
  }

  static std::string LittleEndian(uint32_t v) {
    std::string out;
    for (int k = 0; k < 4; k++) out += static_cast<char>(v >> 8 * k & 255);
    return out;
  }

  // The same events as gzip data (RFC 1952), in stored blocks, one an event.
  bool WriteEncoded(const ChannelPtr& c, const std::string& request,
                    int first) {
    encoded_answers_++;
    Rec().Line(
        "runner %s spoils its answer to request %s: Content-Encoding gzip",
        id_.c_str(), request.c_str());
    Headers headers = StreamHeaders(request);
    headers.emplace_back("Content-Encoding", "gzip");
    if (!Write(c, WriteHead("HTTP/1.1 200 OK", headers))) return false;
    std::string plain;
    std::string bytes("\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\x03", 10);
    for (int n = first; n <= engine_.events; n++) {
      const std::string event = EventText(request, n);
      plain += event;
      const uint16_t size = static_cast<uint16_t>(event.size());
      bytes += n == engine_.events ? '\x01' : '\x00';
      bytes += static_cast<char>(size & 255);
      bytes += static_cast<char>(size >> 8);
      bytes += static_cast<char>(~size & 255);
      bytes += static_cast<char>(static_cast<uint16_t>(~size) >> 8);
      bytes += event;
      if (n == engine_.events) {
        bytes += LittleEndian(Crc32(plain));
        bytes += LittleEndian(static_cast<uint32_t>(plain.size()));
      }
      if (!Write(c, Chunk(bytes)) || PeerHasLeft(c->fd)) return false;
      bytes.clear();
      SleepMs(engine_.event_ms);
    }
    return Write(c, "0\r\n\r\n");
  }

  const std::string id_, hall_, address_;
  Store* store_;
  Pool* pool_;
  Runs* runs_;
  const EngineOptions engine_;
  Server server_;
  RunnerFaults faults_;
  std::atomic<int64_t> rejected_{0}, second_answers_{0}, encoded_answers_{0};
  std::mutex mutex_;
  Range holds_;
  double used_ = 0;  // memory, in tokens x layers
  uint64_t seq_ = 0, fence_ = 0, beats_ = 0;
  bool busy_ = false;
  std::map<std::string, Stream> streams_;
};

// The part of the operator's configuration for a pool of such runners.
inline Json PoolService(const EngineOptions& e) {
  return {
      {"name", "pool"},
      {"maxConns", 1138},
      {"engine",
       {{"layers", e.layers},
        {"layer_mb", e.layer_mb},
        {"tokenKvBytes", e.token_bytes},
        {"step_ms", 1.0},
        {"read_per_s", 105000},
        {"stride", 1},
        {"chunk", 512},
        {"act_bytes", 16384},
        {"pipe_mbps", 26000},
        {"loads_at_once", 8},
        {"usual", {{"prompt", 800}, {"answer", 60}}},
        {"kinds", Json::array({{{"name", "big"},
                                {"mb", e.mb},
                                {"pace", 1.0},
                                {"read_x", 1.0}}})},
        {"models", Json::array({{{"name", "m0"}, {"load_s", e.load_s}}})}}}};
}

inline Json Limits(int64_t header_bytes = 16384, int64_t body_bytes = 4194304) {
  return {{"maxHeaderBytes", header_bytes},
          {"maxBodyBytes", body_bytes},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}};
}

}  // namespace lab

#endif  // REVIEW_LAB_RUNNERS_H_
