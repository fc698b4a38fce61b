// Rows are kept by name. A row that falls out of the list stays while this
// box still has work there, because streams finish on endpoints that are
// leaving; it takes no new work meanwhile.

#include "pinford/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <cstring>

#include "pinford/runner_price.h"

namespace pinford {

EndpointTable::EndpointTable(std::string hall, const Options& options,
                             Random random)
    : hall_(std::move(hall)), options_(options), random_(random) {}

EndpointTable::Row* EndpointTable::Find(const std::string& name) {
  auto it = rows_.find(name);
  return it == rows_.end() ? nullptr : &it->second;
}

const EndpointTable::Row* EndpointTable::Find(const std::string& name) const {
  auto it = rows_.find(name);
  return it == rows_.end() ? nullptr : &it->second;
}

void EndpointTable::OnList(const std::vector<ListedEndpoint>& list) {
  for (auto& [name, row] : rows_) row.is_listed = false;
  for (const ListedEndpoint& listed : list) OnListed(listed);
  std::erase_if(rows_, [](const auto& e) { return IsOver(e.second); });
}

bool EndpointTable::IsOver(const Row& row) {
  return !row.is_listed && row.own == 0 && row.lost.streams == 0;
}

void EndpointTable::OnListed(const ListedEndpoint& listed) {
  auto [it, fresh] = rows_.try_emplace(listed.name);
  Row& row = it->second;
  if (fresh) row.deadline = StepDeadline(options_.deadline);
  if (listed.incarnation > row.listed.incarnation) {
    row.failures = 0;
    row.resting_until = Time{};
  }
  row.listed = listed;
  row.is_listed = true;
  if (listed.state == ListedState::kLeaving) {
    row.leaving.insert(listed.incarnation);
  }
}

void EndpointTable::OnUnlisted(const std::string& name) {
  const auto it = rows_.find(name);
  if (it == rows_.end()) return;
  it->second.is_listed = false;
  if (IsOver(it->second)) rows_.erase(it);
}

void EndpointTable::OnReport(Time now, const std::string& name,
                             const LoadReport& report) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->report = report;
  row->reported = now;
  row->own_at_report = row->own;
  row->own_work_before = row->own_work_at_report;
  row->own_work_at_report = row->own_work;
  if (report.leaving) row->leaving.insert(report.incarnation);
}

bool EndpointTable::OnLeaving(const std::string& name, uint64_t incarnation) {
  Row* row = Find(name);
  return row != nullptr && row->leaving.insert(incarnation).second;
}

uint64_t EndpointTable::IncarnationOf(const Row& row) {
  uint64_t reported = row.report ? row.report->incarnation : 0;
  return std::max(row.listed.incarnation, reported);
}

uint64_t EndpointTable::IncarnationOf(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? IncarnationOf(*row) : 0;
}

bool EndpointTable::OnLeaving(const std::string& name) {
  const Row* row = Find(name);
  return row != nullptr && OnLeaving(name, IncarnationOf(*row));
}

void EndpointTable::OnNewLife(Time now, const std::string& name) {
  Row* row = Find(name);
  if (row == nullptr) return;
  Row fresh;
  fresh.listed = row->listed;
  fresh.is_listed = row->is_listed;
  fresh.leaving = row->leaving;
  fresh.deadline = StepDeadline(options_.deadline);
  fresh.begun = now;
  fresh.lost.streams = row->lost.streams + row->own;
  fresh.lost.work = row->lost.work + row->own_work;
  fresh.lost.entries = row->lost.entries + row->own_entries;
  *row = std::move(fresh);
}

Time EndpointTable::LifeBegun(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? row->begun : Time{};
}

// Which life a stream was on is not kept: those of lives that are over break
// off, and count as the first to end. What that mistakes is made up for with
// the last of them.
void EndpointTable::EndLost(int work, Row* row) {
  row->lost.work -= work;
  if (--row->lost.streams > 0) return;
  row->own_work = std::max(0, row->own_work + row->lost.work);
  row->lost.work = 0;
}

void EndpointTable::OnReportWrong(const std::string& name) {
  if (Row* row = Find(name)) row->reported = Time::min();
}

void EndpointTable::OnPeerWork(const std::string& name, int work) {
  if (!on(Mechanism::kPeerCounts)) return;
  if (Row* row = Find(name)) row->peer_work = work;
}

void EndpointTable::OnObserved(Time now, const std::string& name, double work,
                               int entries) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->observed = now;
  if (!on(Mechanism::kObservedRoom)) return;
  row->unknown_work = work - WorkOf(*row);
  row->unknown_entries = entries - row->own_entries - row->peer_entries;
}

void EndpointTable::OnPeerEntries(const std::string& name, int entries) {
  if (!on(Mechanism::kPeerCounts)) return;
  if (Row* row = Find(name)) row->peer_entries = entries;
}

void EndpointTable::OnEntry(const std::string& name) {
  if (Row* row = Find(name)) row->own_entries++;
}

void EndpointTable::OnEntryDone(const std::string& name) {
  Row* row = Find(name);
  if (row == nullptr) return;
  int& entries = row->lost.entries > 0 ? row->lost.entries : row->own_entries;
  if (entries > 0) entries--;
}

void EndpointTable::OnSent(const std::string& name, int work) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->own++;
  row->own_work += work;
}

void EndpointTable::OnDone(const std::string& name, int work) {
  Row* row = Find(name);
  if (row == nullptr) return;
  if (row->lost.streams > 0) {
    EndLost(work, row);
    return;
  }
  if (row->own == 0) return;
  row->own--;
  row->own_work = std::max(0, row->own_work - work);
}

void EndpointTable::OnPrompt(Time now, const std::string& name, double tokens) {
  Row* row = Find(name);
  if (row == nullptr || !row->report) return;
  if (!on(Mechanism::kReadingAccount)) return;
  row->reading.Add(now, tokens * row->report->read_seconds,
                   options_.reading_span);
}

void EndpointTable::OnWaiting(const std::string& name, double tokens) {
  if (Row* row = Find(name)) row->waiting += tokens;
}

void EndpointTable::OnWaitingDone(const std::string& name, double tokens) {
  if (Row* row = Find(name))
    row->waiting = std::max(0.0, row->waiting - tokens);
}

void EndpointTable::OnCrossing(Time now, double tokens) {
  if (!on(Mechanism::kCrossingAccount)) return;
  crossing_.Add(now, tokens * crossing_seconds_, options_.reading_span);
}

void EndpointTable::OnCrossingDone(double tokens) {
  crossing_waiting_ = std::max(0.0, crossing_waiting_ - tokens);
}

// Seconds for one token, the links' load counted. Each pair of halls has a link
// of its own; what crosses is taken to spread over them.
double EndpointTable::CrossingPrice(Time now, int halls) const {
  constexpr double kLeastIdle = 0.01;
  const Duration span = options_.reading_span;
  const bool pairs = on(Mechanism::kLinkPairs);
  const int links = pairs ? std::max(1, halls * (halls - 1) / 2) : 1;
  const double taken =
      boxes_ * crossing_.At(now, span) / ToSeconds(span) / links;
  const double waiting =
      on(Mechanism::kWaitingPrompts)
          ? boxes_ * crossing_waiting_ * crossing_seconds_ / links
          : 0;
  return options_.other_hall_seconds * QueueFactor(waiting) /
         std::max(kLeastIdle, 1 - taken);
}

void EndpointTable::OnSuccess(const std::string& name, double work,
                              Duration took) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->failures = 0;
  row->resting_until = Time{};
  row->deadline.Measure(work, took);
}

void EndpointTable::OnFailure(Time now, const std::string& name, Time sent) {
  Row* row = Find(name);
  if (row == nullptr || sent < row->begun) return;
  row->failed = now;
  // What was sent under the last deadline says nothing of the present one.
  if (sent >= row->backed_off) {
    row->deadline.BackOff();
    row->backed_off = now;
  }
  // Streams that share an endpoint fail together; that is one failure.
  if (now < row->resting_until) return;
  constexpr int kMaxDoublings = 10;
  Duration rest = options_.rest * (1 << std::min(row->failures, kMaxDoublings));
  row->resting_until = now + std::min(rest, options_.max_rest);
  row->failures++;
}

bool EndpointTable::IsUp(const Row& row) {
  return row.is_listed && !row.down && row.listed.state == ListedState::kLive &&
         !row.leaving.contains(IncarnationOf(row));
}

void EndpointTable::SetDown(const std::string& name, bool down) {
  if (Row* row = Find(name)) row->down = down;
}

void EndpointTable::SetPace(const std::string& name, double pace) {
  if (!on(Mechanism::kPacePrice)) return;
  if (Row* row = Find(name)) row->pace = std::max(1.0, pace);
}

void EndpointTable::OnFull(Time now, const std::string& name) {
  if (Row* row = Find(name)) row->full_until = now + options_.full_rest;
}

// What the endpoint asked for goes before what this box guesses, and holds
// whatever else is learned of it. With the guess alone four endpoints that
// turned all requests away for 9 s each, asking for 3 s of rest, were sent 445
// requests by eight boxes that each came back after 0.3 to 0.5 s.
bool EndpointTable::LeftAlone(Time now, const Row& row) const {
  return now < row.full_until ||
         rests_.Left(now, row.listed.name) > Duration(0);
}

bool EndpointTable::MaySend(Time now, const Row& row) const {
  return IsUp(row) && !LeftAlone(now, row);
}

bool EndpointTable::MaySend(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr && MaySend(now, *row);
}

bool EndpointTable::TakesWorkAtNeed(Time now, const Row& row) const {
  if (!MaySend(now, row)) return false;
  if (!row.report || row.reported + options_.report_valid < now) return false;
  const bool answers = on(Mechanism::kServeAtNeed);
  const Time heard =
      answers ? std::max(row.reported, row.observed) : row.reported;
  return now >= row.resting_until || heard > row.failed;
}

bool EndpointTable::TakesNewWork(Time now, const Row& row) const {
  return TakesWorkAtNeed(now, row) && now >= row.resting_until;
}

bool EndpointTable::TakesNewWork(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr && TakesNewWork(now, *row);
}

bool EndpointTable::IsLeaving(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr && row->leaving.contains(IncarnationOf(*row));
}

Duration EndpointTable::DeadlineFor(const std::string& name,
                                    double work) const {
  const Row* row = Find(name);
  return row != nullptr ? row->deadline.For(work) : options_.deadline.first;
}

std::optional<Address> EndpointTable::AddressOf(const std::string& name) const {
  const Row* row = Find(name);
  if (row == nullptr) return std::nullopt;
  return row->listed.address;
}

const std::string& EndpointTable::HallOf(const std::string& name) const {
  static const std::string kNone;
  const Row* row = Find(name);
  return row != nullptr ? row->listed.hall : kNone;
}

double EndpointTable::LoadOf(const Row& row) {
  const int reported = row.report ? row.report->running : 0;
  const int others = std::max(reported - row.own_at_report, 0);
  // Peers tell work; what a stream takes of it is known from the report.
  const double per_stream =
      reported > 0
          ? std::max(1.0, static_cast<double>(row.report->work) / reported)
          : std::max(1, row.report ? row.report->holds.size() : 1);
  return row.own + std::max<double>(others, row.peer_work / per_stream);
}

double EndpointTable::WorkOf(const Row& row) const {
  const int reported = row.report ? row.report->work : 0;
  const int others =
      row.peer_work > 0 ? row.peer_work : reported - row.own_work_at_report;
  const int own_change = row.own_work - row.own_work_before;
  const int expected = std::max(others, 0) + peer_boxes_ * own_change;
  return row.own_work + std::max(expected, 0);
}

double EndpointTable::UnknownLeft(Time now, const Row& row) const {
  if (row.observed == Time{}) return 0;
  return std::exp(-ToSeconds(now - row.observed) /
                  ToSeconds(options_.unknown_for));
}

double EndpointTable::RoomTakenOf(Time now, const Row& row) const {
  return std::max(0.0, WorkOf(row) + row.unknown_work * UnknownLeft(now, row));
}

double EndpointTable::TakenOf(Time now, const Row& row) const {
  const bool known = row.report && row.report->room > 0;
  return known ? RoomTakenOf(now, row) / row.report->room : 0;
}

double EndpointTable::TakenOf(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? TakenOf(now, *row) : 0;
}

double EndpointTable::LayerWorkOf(Time now, const std::string& name) const {
  const Row* row = Find(name);
  const bool known = row != nullptr && row->report && row->report->room > 0;
  if (!known || row->report->holds.empty()) return 0;
  return RoomTakenOf(now, *row) / row->report->holds.size();
}

double EndpointTable::StepSecondsOf(const std::string& name, int layers,
                                    bool paced) const {
  const Row* row = Find(name);
  if (row == nullptr || !row->report) return 0;
  return row->report->layer_seconds * layers * (paced ? row->pace : 1);
}

double EndpointTable::ReadingOf(Time now, const Row& row) const {
  const Duration span = options_.reading_span;
  return boxes_ * row.reading.At(now, span) / ToSeconds(span);
}

double EndpointTable::WaitingOf(const Row& row) const {
  if (!on(Mechanism::kWaitingPrompts) || !row.report) return 0;
  return boxes_ * row.waiting * row.report->read_seconds * row.pace;
}

double EndpointTable::WaitingOf(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? WaitingOf(*row) : 0;
}

double EndpointTable::ReadingOf(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? ReadingOf(now, *row) : 0;
}

bool EndpointTable::HasRoom(Time now, const Row& row, double layer_work) const {
  if (row.report->room <= 0 || !on(Mechanism::kRoomBound)) return true;
  const double more = layer_work * row.report->holds.size();
  return RoomTakenOf(now, row) + more <= row.report->room * options_.most_room;
}

double EndpointTable::PriceOf(Time now, const Row& row,
                              const Means& means) const {
  const double idle = row.report->layer_seconds;
  if (row.report->room <= 0) {
    return PricedLayerCost(idle, BacklogOf(row), means.backlog, options_.price);
  }
  const double weight =
      on(Mechanism::kSpreadPrice) ? SpeedWeight(gap_share_) : 1;
  return LayerPrice(
      {idle, row.pace, ReadingOf(now, row), TakenOf(now, row), WaitingOf(row)},
      means.layer_seconds, weight);
}

double EndpointTable::EntryPrice(Time now, const Row& row) const {
  if (!on(Mechanism::kEntrySlots)) return 0;
  const double entries = row.own_entries + row.peer_entries +
                         row.unknown_entries * UnknownLeft(now, row);
  return EntrySlotPrice(entries, row.report->slots);
}

double EndpointTable::LoadOf(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? LoadOf(*row) : 0;
}

double EndpointTable::BacklogOf(const Row& row) const {
  return row.report ? WorkOf(row) * row.report->layer_seconds : 0;
}

double EndpointTable::BacklogOf(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? BacklogOf(*row) : 0;
}

// Whether a runner's last report says that it holds a part of the model.
static bool Holds(const EndpointTable::Row& row, const std::string& model,
                  const std::string& version) {
  return row.listed.role == EndpointRole::kRunner && row.report &&
         row.report->model == model && row.report->version == version;
}

bool EndpointTable::IsRunnerOf(Time now, const Row& row,
                               const std::string& model,
                               const std::string& version) const {
  return Holds(row, model, version) && TakesNewWork(now, row);
}

int EndpointTable::LayersOf(const std::string& model,
                            const std::string& version) const {
  for (const auto& [name, row] : rows_) {
    if (row.report && row.report->model == model &&
        row.report->version == version) {
      return row.report->layers;
    }
  }
  return 0;
}

// Whether `ranges` together hold every layer below `layers`.
static bool Cover(std::vector<LayerRange> ranges, int layers) {
  std::sort(ranges.begin(), ranges.end(),
            [](const LayerRange& a, const LayerRange& b) {
              return a.begin < b.begin;
            });
  int covered = 0;
  for (const LayerRange& r : ranges) {
    if (r.begin > covered) return false;
    covered = std::max(covered, r.end);
  }
  return layers > 0 && covered >= layers;
}

std::optional<std::string> EndpointTable::WholeVersion(
    const std::string& model, const std::string& wanted,
    const std::function<bool(const Row&)>& takes) const {
  const auto below = [](const std::string& a, const std::string& b) {
    return strverscmp(a.c_str(), b.c_str()) < 0;
  };
  std::map<std::string, std::vector<LayerRange>, decltype(below)> held(below);
  for (const auto& [name, row] : rows_) {
    if (!row.report || !Holds(row, model, row.report->version)) continue;
    if (!wanted.empty() && row.report->version != wanted) continue;
    if (takes(row)) held[row.report->version].push_back(row.report->holds);
  }
  for (auto it = held.rbegin(); it != held.rend(); ++it) {
    if (Cover(it->second, LayersOf(model, it->first))) return it->first;
  }
  return std::nullopt;
}

std::optional<std::string> EndpointTable::VersionFor(
    Time now, const std::string& model, const std::string& wanted) const {
  auto version = WholeVersion(
      model, wanted, [&](const Row& row) { return TakesNewWork(now, row); });
  if (version || !on(Mechanism::kServeAtNeed)) return version;
  return WholeVersion(
      model, wanted, [&](const Row& row) { return TakesWorkAtNeed(now, row); });
}

EndpointTable::Means EndpointTable::MeansOf(
    const std::vector<const Row*>& rows) const {
  Means sums;
  for (const Row* row : rows) {
    sums.backlog += BacklogOf(*row);
    sums.layer_seconds += row->report->layer_seconds;
  }
  const double n = std::max<double>(1, rows.size());
  return {sums.backlog / n, sums.layer_seconds / n};
}

std::optional<Chain> EndpointTable::PickAmong(
    Time now, const std::vector<const Row*>& rows, const LayerRange& range,
    const HallWeight& hall_weight) {
  std::uniform_real_distribution<double> jitter(0, options_.jitter);
  const Means means = MeansOf(rows);
  std::vector<Candidate> candidates;
  candidates.reserve(rows.size());
  std::map<std::string, int> halls;
  for (const Row* row : rows) {
    const std::string& hall = row->listed.hall;
    const int number =
        halls.emplace(hall, static_cast<int>(halls.size())).first->second;
    const bool far = hall != hall_ && !options_.hand_over_directly;
    const double hop = far ? options_.other_hall_seconds : options_.hop_seconds;
    const double price = PriceOf(now, *row, means) *
                         std::pow(options_.price.factor, jitter(random_));
    const bool elsewhere = hall != hall_ && options_.hand_over_directly;
    const double first = options_.hand_over_directly
                             ? EntryPrice(now, *row) +
                                   (elsewhere ? options_.other_hall_seconds : 0)
                             : 0;
    candidates.push_back({row->listed.name, row->report->holds,
                          price / hall_weight(hall), hop, number, first});
  }
  if (!options_.hand_over_directly) return PickChain(candidates, range);
  const double crossing = CrossingPrice(now, static_cast<int>(halls.size()));
  return PickSimpleChain(candidates, range, crossing);
}

std::optional<Chain> EndpointTable::PickChainFor(
    Time now, const std::string& model, const std::string& version,
    const LayerRange& range, const HallWeight& hall_weight, double layer_work,
    const std::set<std::string>& avoid) {
  std::vector<const Row*> able;
  std::vector<const Row*> at_need;
  for (const auto& [name, row] : rows_) {
    if (!Holds(row, model, version)) continue;
    if (hall_weight(row.listed.hall) <= 0) continue;
    if (!TakesWorkAtNeed(now, row) || !HasRoom(now, row, layer_work)) continue;
    if (avoid.contains(name)) continue;
    at_need.push_back(&row);
    if (TakesNewWork(now, row)) able.push_back(&row);
  }
  std::optional<Chain> chain = PickAmong(now, able, range, hall_weight);
  if (chain || able.size() == at_need.size()) return chain;
  return PickAmong(now, at_need, range, hall_weight);
}

EndpointTable::Shortage EndpointTable::ShortestOf(
    Time now, const std::string& model, const std::string& version) const {
  std::vector<Shortage> at_layer(LayersOf(model, version));
  for (size_t l = 0; l < at_layer.size(); l++) {
    at_layer[l].layer = static_cast<int>(l);
  }
  for (const auto& [name, row] : rows_) {
    if (!Holds(row, model, version) || !TakesWorkAtNeed(now, row)) continue;
    const LayerRange& r = row.report->holds;
    for (int l = r.begin; l < r.end; l++) {
      Shortage& s = at_layer[l];
      s.taken = s.holders++ == 0 ? TakenOf(now, row)
                                 : std::min(s.taken, TakenOf(now, row));
    }
  }
  const auto less = [](const Shortage& a, const Shortage& b) {
    return a.holders > 0 && (b.holders == 0 || a.taken < b.taken);
  };
  const auto most = std::max_element(at_layer.begin(), at_layer.end(), less);
  return most == at_layer.end() ? Shortage() : *most;
}

std::optional<std::string> EndpointTable::PickService(
    Time now, const std::string& service, const std::set<std::string>& tried) {
  std::vector<const Row*> usable;
  std::vector<const Row*> resting;
  for (const auto& [name, row] : rows_) {
    if (row.listed.role != EndpointRole::kService) continue;
    if (row.listed.service != service || tried.contains(name)) continue;
    if (TakesNewWork(now, row)) {
      usable.push_back(&row);
    } else if (MaySend(now, row)) {
      resting.push_back(&row);
    }
  }
  // One that failed of late may do; nobody at all does not.
  if (usable.empty()) usable = std::move(resting);
  if (usable.empty()) return std::nullopt;
  std::uniform_int_distribution<size_t> any(0, usable.size() - 1);
  const Row* a = usable[any(random_)];
  const Row* b = usable[any(random_)];
  const Row* least = LoadOf(*a) <= LoadOf(*b) ? a : b;
  return least->listed.name;
}

// The least, over the layers of `model`, of the sum of slots_of(row) over the
// runners that hold the layer.
template <typename SlotsOf>
double EndpointTable::LeastOverLayers(Time now, const std::string& model,
                                      SlotsOf slots_of) const {
  std::vector<double> at_layer;
  for (const auto& [name, row] : rows_) {
    if (!row.report || row.report->holds.empty()) continue;
    if (!IsRunnerOf(now, row, model, row.report->version)) continue;
    at_layer.resize(std::max<size_t>(at_layer.size(), row.report->layers));
    const LayerRange& r = row.report->holds;
    for (int l = r.begin; l < r.end; l++) at_layer[l] += slots_of(row);
  }
  if (at_layer.empty()) return 0;
  return *std::min_element(at_layer.begin(), at_layer.end());
}

double EndpointTable::StreamSlots(Time now, const std::string& model) const {
  return LeastOverLayers(now, model,
                         [](const Row& row) { return row.report->slots; });
}

double EndpointTable::FreeStreamSlots(Time now,
                                      const std::string& model) const {
  return LeastOverLayers(now, model, [](const Row& row) {
    return std::max(0.0, row.report->slots - LoadOf(row));
  });
}

bool EndpointTable::KnowsModel(const std::string& model) const {
  return !model.empty() &&
         std::any_of(rows_.begin(), rows_.end(), [&model](const auto& entry) {
           const Row& row = entry.second;
           return row.report && row.report->model == model;
         });
}

std::set<std::string> EndpointTable::Models() const {
  std::set<std::string> models;
  for (const auto& [name, row] : rows_) {
    if (row.report && !row.report->model.empty()) {
      models.insert(row.report->model);
    }
  }
  return models;
}

std::map<std::string, HallDemand> EndpointTable::Halls(
    Time now, const std::string& model) const {
  std::map<std::string, HallDemand> halls;
  for (const auto& [name, row] : rows_) {
    if (!row.report || row.report->layers == 0) continue;
    if (!IsRunnerOf(now, row, model, row.report->version)) continue;
    // An endpoint that holds a part of the layers carries as much of each
    // stream.
    const double part =
        static_cast<double>(row.report->holds.size()) / row.report->layers;
    halls[row.listed.hall].capacity += part * row.report->slots;
    halls[row.listed.hall].demand += part * LoadOf(row);
  }
  return halls;
}

std::vector<LeavingMark> EndpointTable::LeavingMarks() const {
  std::vector<LeavingMark> marks;
  for (const auto& [name, row] : rows_) {
    if (IsLeaving(name)) marks.push_back({name, IncarnationOf(row)});
  }
  return marks;
}

}  // namespace pinford
