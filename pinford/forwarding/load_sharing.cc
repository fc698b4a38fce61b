#include "pinford/forwarding/load_sharing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pinford {

// The links between halls stand among the endpoints under an id of their own.
static constexpr uint32_t kLinks = 0;
static constexpr double kMillis = 1000;

LoadSharing::LoadSharing(std::string box, uint64_t board, EndpointTable* table,
                         const Options& options, Events events)
    : box_(std::move(box)),
      table_(table),
      options_(options),
      events_(std::move(events)),
      board_(board, LoadBoard::Options()),
      doubted_(DoubtedEndpoints::Options(), {events_.ask, events_.told}) {}

static uint16_t Bounded(double v) {
  return static_cast<uint16_t>(std::clamp(std::round(v), 0.0, 65535.0));
}

std::vector<EndpointLoad> LoadSharing::OwnLoads(Time now) const {
  std::vector<EndpointLoad> loads;
  for (const auto& [name, row] : table_->rows()) {
    const EndpointLoad load = {
        NameId(name), Bounded(row.own_work), Bounded(row.own_entries),
        Bounded(table_->OwnReading(now, name) * kMillis)};
    if (load.work + load.entries + load.reading > 0) loads.push_back(load);
  }
  std::sort(loads.begin(), loads.end(),
            [](const EndpointLoad& a, const EndpointLoad& b) {
              return a.work + a.reading > b.work + b.reading;
            });
  if (loads.size() > options_.most_loads) loads.resize(options_.most_loads);
  const uint16_t crossing = Bounded(table_->OwnCrossing(now) * kMillis);
  if (crossing > 0) loads.push_back({kLinks, 0, 0, crossing});
  return loads;
}

std::vector<EndpointState> LoadSharing::Known() const {
  constexpr uint8_t kNotablySlow = kUsualPace * 5 / 4;
  std::vector<EndpointState> states;
  for (const auto& [name, row] : table_->rows()) {
    const double pace = std::min(row.pace * kUsualPace, 255.0);
    EndpointState s;
    s.id = NameId(name);
    s.pace = pace < kNotablySlow ? kUsualPace : static_cast<uint8_t>(pace);
    if (doubted_.IsDead(name)) s.pace = kDeadPace;
    if (s.pace != kUsualPace) states.push_back(s);
  }
  return states;
}

// --- asking ----------------------------------------------------------------

void LoadSharing::OnImpaired(const std::string& endpoint) {
  constexpr size_t kMostSuspects = 64;
  if (suspects_.size() < kMostSuspects) suspects_.push_back(NameId(endpoint));
}

void LoadSharing::Fill(Time now, FetchRequest* request) {
  if (now < next_ && suspects_.empty()) return;
  next_ = now + options_.interval;
  request->wants_loads = true;
  request->asker = box_;
  request->suspects = std::exchange(suspects_, {});
  request->loads = OwnLoads(now);
  request->loads_since = view_.stamp();
  told_.clear();
  for (const EndpointLoad& load : request->loads) told_[load.id] = load;
}

void LoadSharing::OnReply(Time now, const FetchReply& reply) {
  if (reply.loads_at.board == 0) return;
  view_.Merge(reply.loads_at, reply.loads);
  Apply(now, told_, reply.load_boxes,
        [this](uint32_t id) { return view_.Find(id); });
  ApplyHealth();
}

template <typename Find>
void LoadSharing::Apply(Time now, const ById& own, uint32_t boxes, Find find) {
  heard_ = now;
  const auto others = [&](uint32_t id) {
    EndpointTable::Others out;
    const EndpointState* all = find(id);
    if (all == nullptr) return out;
    const auto it = own.find(id);
    const EndpointLoad mine = it != own.end() ? it->second : EndpointLoad();
    out.work = std::max(0, all->work - mine.work);
    out.entries = std::max(0, all->entries - mine.entries);
    out.reading = std::max(0, all->reading - mine.reading) / kMillis;
    return out;
  };
  for (const auto& [name, row] : table_->rows()) {
    table_->OnOthers(now, name, others(NameId(name)));
  }
  table_->OnOthersCrossing(now, others(kLinks).reading, boxes);
}

void LoadSharing::ApplyHealth() {
  std::map<std::string, uint8_t> changed;
  for (const auto& [name, row] : table_->rows()) {
    const EndpointState* all = view_.Find(NameId(name));
    const uint8_t pace = all != nullptr ? all->pace : kUsualPace;
    const auto it = paces_.find(name);
    const uint8_t before = it == paces_.end() ? kUsualPace : it->second;
    if (pace != before) changed[name] = pace;
  }
  for (const auto& [name, pace] : changed) {
    paces_[name] = pace;
    if (pace == kUsualPace) paces_.erase(name);
    const bool works = pace != kDeadPace;
    events_.told(name, works,
                 works ? static_cast<double>(pace) / kUsualPace : 1);
  }
}

// --- answering, and between halls ------------------------------------------

void LoadSharing::Sum(Time now) {
  const std::vector<EndpointLoad> own = OwnLoads(now);
  summed_.clear();
  for (const EndpointLoad& load : own) summed_[load.id] = load;
  board_.Sum(now, own, Known());
}

void LoadSharing::Answer(Time now, const FetchRequest& request,
                         FetchReply* reply) {
  if (!request.wants_loads) return;
  if (request.scope == LoadScope::kFleet) {
    board_.OnBox(now, request.asker, request.loads);
  }
  Suspect(request.suspects);
  if (board_.due(now)) Sum(now);
  reply->loads_at = board_.stamp(request.scope);
  reply->loads = board_.Since(request.scope, request.loads_since);
  reply->load_boxes = board_.boxes(request.scope);
}

void LoadSharing::FillForHall(const std::string& hall,
                              FetchRequest* request) const {
  request->wants_loads = true;
  request->scope = LoadScope::kHall;
  request->asker = box_;
  request->loads_since = board_.known_of(hall);
}

void LoadSharing::OnHallReply(Time now, const std::string& hall,
                              const FetchReply& reply) {
  if (reply.loads_at.board == 0) return;
  board_.OnHall(now, hall, reply.loads_at, reply.loads, reply.load_boxes);
  Suspect(board_.DeadElsewhere());
}

void LoadSharing::Suspect(const std::vector<uint32_t>& endpoints) {
  if (endpoints.empty()) return;
  for (const auto& [name, row] : table_->rows()) {
    const bool named = std::find(endpoints.begin(), endpoints.end(),
                                 NameId(name)) != endpoints.end();
    if (named) doubted_.Suspect(name);
  }
}

void LoadSharing::Untell() {
  for (const auto& [name, pace] : std::exchange(paces_, {})) {
    events_.untold(name);
  }
}

void LoadSharing::Forget(Time now) {
  heard_ = Time::min();
  view_ = LoadView();
  Untell();
  for (const auto& [name, row] : table_->rows()) {
    table_->OnOthers(now, name, {});
  }
}

void LoadSharing::Tick(Time now, bool gathers) {
  if (gathers) {
    Untell();
    Suspect(std::exchange(suspects_, {}));
    doubted_.Tick(now, [this](const std::string& endpoint) {
      return table_->rows().contains(endpoint);
    });
    if (board_.due(now)) {
      Sum(now);
      Apply(now, summed_, board_.boxes(LoadScope::kFleet),
            [this](uint32_t id) { return board_.Find(LoadScope::kFleet, id); });
    }
    return;
  }
  for (const std::string& name : doubted_.Clear()) events_.untold(name);
  if (heard_ != Time::min() && now - heard_ > options_.valid) Forget(now);
}

}  // namespace pinford
