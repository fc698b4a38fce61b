#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <tuple>

#include "pinford/testing/pool_simulation.h"
#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<ChainChoice> kChoiceNames[] = {
    {ChainChoice::kPinford, "pinford"},
    {ChainChoice::kRoundRobin, "round robin"},
    {ChainChoice::kRandom, "random"},
    {ChainChoice::kLeastInFlight, "least in flight"},
    {ChainChoice::kLeastBacklog, "least backlog"},
};

std::string_view ChainChoiceName(ChainChoice c) {
  return NameIn(kChoiceNames, c);
}

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(q * last)];
}

// --- the bound -------------------------------------------------------------

// Whether `t` tokens a second can flow: each layer asks for t, an endpoint
// gives at most its rate. Augmenting paths by breadth-first search
// (Edmonds and Karp, 1972) over layers and endpoints.
static bool Flows(const std::vector<LayerRange>& holdings,
                  const std::vector<double>& rates, int layers, double t) {
  const int n = static_cast<int>(holdings.size());
  const int sink = layers + n;
  const double epsilon = t * 1e-6;
  std::vector<double> left(rates);
  std::vector<std::map<int, double>> given(n);  // endpoint -> layer -> rate
  for (int layer = 0; layer < layers; layer++) {
    double lacking = t;
    while (lacking > epsilon) {
      std::vector<int> from(sink + 1, -1);
      std::queue<int> queue;
      queue.push(layer);
      from[layer] = layer;
      while (!queue.empty() && from[sink] < 0) {
        const int v = queue.front();
        queue.pop();
        if (v < layers) {
          for (int e = 0; e < n; e++) {
            const bool holds = holdings[e].Contains({v, v + 1});
            if (holds && from[layers + e] < 0) {
              from[layers + e] = v;
              queue.push(layers + e);
            }
          }
          continue;
        }
        const int e = v - layers;
        if (left[e] > epsilon) {
          from[sink] = v;
          break;
        }
        for (const auto& [other, rate] : given[e]) {
          if (rate > epsilon && from[other] < 0) {
            from[other] = v;
            queue.push(other);
          }
        }
      }
      if (from[sink] < 0) return false;
      double push = std::min(lacking, left[from[sink] - layers]);
      for (int v = from[sink]; v != layer; v = from[v]) {
        if (v < layers) push = std::min(push, given[from[v] - layers][v]);
      }
      left[from[sink] - layers] -= push;
      for (int v = from[sink]; v != layer; v = from[v]) {
        if (v >= layers) {
          given[v - layers][from[v]] += push;
        } else {
          given[from[v] - layers][v] -= push;
        }
      }
      lacking -= push;
    }
  }
  return true;
}

double FlowBound(const std::vector<LayerRange>& holdings,
                 const std::vector<double>& rates, int layers) {
  double low = 0;
  double high = 0;
  for (double r : rates) high += r;
  for (int i = 0; i < 40; i++) {
    const double middle = (low + high) / 2;
    (Flows(holdings, rates, layers, middle) ? low : high) = middle;
  }
  return low;
}

// --- the pool --------------------------------------------------------------

namespace {

// Rates of the six kinds of accelerator, against the slowest.
constexpr double kKinds[] = {1, 1.5, 2, 3, 4, 6};
// Layer positions a second of the slowest.
constexpr double kSlowest = 400;

struct Runner {
  std::string name;
  LayerRange holds;
  int hall = 0;
  double rate = 0;
  double link = 1;  // factor on its links' delay
  Time busy_until{};
  int streams = 0;
  int work = 0;
  std::deque<std::tuple<Time, int, int>> reports;  // when, streams, work
};

struct Deciding {
  std::unique_ptr<EndpointTable> table;
  std::vector<int> own;                                // work by runner
  std::deque<std::pair<Time, std::vector<int>>> told;  // to peers
};

class Pool {
 public:
  explicit Pool(const PoolOptions& o) : o_(o), random_(o.seed) {
    MakeRunners();
    MakeBoxes();
  }

  PoolResult Run() {
    PoolResult result;
    std::vector<LayerRange> holdings;
    std::vector<double> rates;
    for (const Runner& r : runners_) {
      holdings.push_back(r.holds);
      rates.push_back(r.rate);
    }
    result.bound = FlowBound(holdings, rates, o_.layers);
    Report();
    if (o_.offered > 0) {
      arrivals_ = result.bound * o_.offered / o_.stream_tokens;
      Arrive();
    } else {
      // Enough that queues need not run empty, few enough that each stream is
      // placed anew several times while it is measured.
      constexpr int kPerRunner = 8;
      for (int i = 0; i < kPerRunner * o_.runners; i++) {
        clock_.After(milliseconds(random_() % 5000), [this] { Begin(true); });
      }
    }
    clock_.Advance(o_.warm_up);
    measuring_ = true;
    clock_.Advance(o_.length);
    result.tokens = static_cast<double>(tokens_) / ToSeconds(o_.length);
    result.share = result.tokens / result.bound;
    result.first_p95 = Quantile(first_, 0.95);
    result.between_p95 = Quantile(between_, 0.95);
    result.between_p50 = Quantile(between_, 0.5);
    return result;
  }

 private:
  struct Stream {
    int box = 0;
    std::vector<std::pair<int, LayerRange>> chain;  // runner, layers
    int tokens = 0;
    Time arrived{};
    Time last{};
    bool again = false;
  };

  // Blocks of a quarter of the layers, and for every third runner of a half,
  // so that the ranges overlap and each block has holders of several kinds. A
  // walk that goes as far as each runner holds never meets a lone holder.
  void MakeRunners() {
    const int block = o_.layers / 4;
    for (int i = 0; i < o_.runners; i++) {
      Runner r;
      r.name = "r" + std::to_string(100 + i);
      const bool wide = i % 3 == 0;
      const int first = wide ? (i / 3) % 3 : (i * 3 + i / 4) % 4;
      r.holds = {first * block, (first + (wide ? 2 : 1)) * block};
      r.hall = i % o_.halls;
      r.rate = kSlowest * kKinds[(i * 7 + i / 6) % 6];
      runners_.push_back(r);
    }
    runners_[4].link = o_.slow_link;
  }

  void MakeBoxes() {
    std::vector<ListedEndpoint> list;
    for (const Runner& r : runners_) {
      ListedEndpoint e;
      e.name = r.name;
      e.hall = "hall-" + std::to_string(r.hall);
      e.address = {"127.0.0.1", 1};
      list.push_back(e);
    }
    for (int b = 0; b < o_.boxes; b++) {
      Deciding d;
      d.table = std::make_unique<EndpointTable>(
          "hall-" + std::to_string(b % o_.halls), o_.table,
          Random(o_.seed + b));
      d.table->OnList(list);
      d.table->set_peer_boxes(o_.boxes - 1);
      d.own.resize(runners_.size());
      boxes_.push_back(std::move(d));
    }
  }

  void Report() {
    const Time now = clock_.now();
    for (Runner& r : runners_) {
      r.reports.emplace_back(now, r.streams, r.work);
      while (r.reports.size() > 1 &&
             std::get<0>(r.reports[1]) + o_.report_lag <= now) {
        r.reports.pop_front();
      }
    }
    for (Deciding& d : boxes_) {
      d.told.emplace_back(now, d.own);
      while (d.told.size() > 1 && d.told[1].first + o_.peer_lag <= now) {
        d.told.pop_front();
      }
    }
    for (Deciding& d : boxes_) {
      PeerCounts counts;
      for (size_t i = 0; i < runners_.size(); i++) {
        const Runner& r = runners_[i];
        LoadReport report;
        report.model = "m";
        report.version = "v";
        report.layers = o_.layers;
        report.holds = r.holds;
        report.running = std::get<1>(r.reports.front());
        report.work = std::get<2>(r.reports.front());
        report.slots = static_cast<int>(r.rate / kSlowest * 4);
        report.layer_seconds = 1 / r.rate;
        d.table->OnReport(now, r.name, report);
        int& peers = counts[NameId(r.name)].work;
        for (const Deciding& other : boxes_) {
          if (&other != &d) peers += other.told.front().second[i];
        }
      }
      d.table->OnPeerCounts(counts);
    }
    clock_.After(o_.report_interval, [this] { Report(); });
  }

  void Arrive() {
    Begin(false);
    std::exponential_distribution<double> gap(arrivals_);
    clock_.After(FromSeconds(gap(random_)), [this] { Arrive(); });
  }

  int IndexOf(const std::string& name) const {
    for (size_t i = 0; i < runners_.size(); i++) {
      if (runners_[i].name == name) return static_cast<int>(i);
    }
    return -1;
  }

  // What the least-loaded baselines compare.
  double Burden(int box, int i) const {
    const EndpointTable& table = *boxes_[box].table;
    const std::string& name = runners_[i].name;
    if (o_.choice == ChainChoice::kLeastInFlight) return table.LoadOf(name);
    return table.BacklogOf(name);
  }

  // The baselines walk from the first layer to the last and take, of the
  // runners that hold the layer, one by their rule, for as far as it holds.
  std::vector<std::pair<int, LayerRange>> BaselineChain(int box) {
    std::vector<std::pair<int, LayerRange>> chain;
    int at = 0;
    while (at < o_.layers) {
      std::vector<int> able;
      for (size_t i = 0; i < runners_.size(); i++) {
        if (runners_[i].holds.Contains({at, at + 1})) {
          able.push_back(static_cast<int>(i));
        }
      }
      int pick = able[0];
      if (o_.choice == ChainChoice::kRandom) {
        pick = able[random_() % able.size()];
      } else if (o_.choice == ChainChoice::kRoundRobin) {
        pick = able[next_[at]++ % able.size()];
      } else {
        for (int i : able) {
          if (Burden(box, i) < Burden(box, pick)) pick = i;
        }
      }
      const int end = runners_[pick].holds.end;
      chain.push_back({pick, {at, end}});
      at = end;
    }
    return chain;
  }

  std::vector<std::pair<int, LayerRange>> PickedChain(int box) {
    if (o_.choice != ChainChoice::kPinford) return BaselineChain(box);
    std::optional<Chain> chain =
        boxes_[box].table->PickChainFor(clock_.now(), "m", "v", {0, o_.layers},
                                        [](const std::string&) { return 1.0; });
    std::vector<std::pair<int, LayerRange>> out;
    for (const Stage& s : *chain) out.push_back({IndexOf(s.endpoint), s.range});
    return out;
  }

  void Begin(bool again) {
    auto s = std::make_shared<Stream>();
    s->box = static_cast<int>(next_box_++ % o_.boxes);
    s->again = again;
    s->arrived = s->last = clock_.now();
    s->chain = PickedChain(s->box);
    for (const auto& [i, range] : s->chain) {
      runners_[i].streams++;
      runners_[i].work += range.size();
      boxes_[s->box].own[i] += range.size();
      boxes_[s->box].table->OnSent(runners_[i].name, range.size());
    }
    Step(s, 0);
  }

  Duration LinkDelay(const Stream& s, const Runner& r) const {
    const bool near = r.hall == s.box % o_.halls;
    return FromSeconds((near ? 0.0005 : 0.001) * r.link);
  }

  void Step(const std::shared_ptr<Stream>& s, size_t stage) {
    const auto& [i, range] = s->chain[stage];
    const Duration link = LinkDelay(*s, runners_[i]);
    clock_.After(link, [this, s, stage, link] {
      const auto& [index, layers] = s->chain[stage];
      Runner& r = runners_[index];
      const Time start = std::max(clock_.now(), r.busy_until);
      r.busy_until = start + FromSeconds(layers.size() / r.rate);
      clock_.After(r.busy_until - clock_.now() + link, [this, s, stage] {
        if (stage + 1 < s->chain.size()) {
          Step(s, stage + 1);
        } else {
          Token(s);
        }
      });
    });
  }

  void Token(const std::shared_ptr<Stream>& s) {
    const Time now = clock_.now();
    const double gap = ToSeconds(now - s->last);
    s->last = now;
    if (measuring_) {
      tokens_++;
      (s->tokens == 0 ? first_ : between_).push_back(gap);
    }
    if (++s->tokens < o_.stream_tokens) {
      Step(s, 0);
      return;
    }
    for (const auto& [i, range] : s->chain) {
      runners_[i].streams--;
      runners_[i].work -= range.size();
      boxes_[s->box].own[i] -= range.size();
      boxes_[s->box].table->OnDone(runners_[i].name, range.size());
    }
    if (s->again) Begin(true);
  }

  PoolOptions o_;
  PausedClock clock_;
  Random random_;
  std::vector<Runner> runners_;
  std::vector<Deciding> boxes_;
  std::map<int, size_t> next_;
  size_t next_box_ = 0;
  double arrivals_ = 0;
  bool measuring_ = false;
  int64_t tokens_ = 0;
  std::vector<double> first_;
  std::vector<double> between_;
};

}  // namespace

PoolResult SimulatePool(const PoolOptions& options) {
  return Pool(options).Run();
}

}  // namespace pinford
