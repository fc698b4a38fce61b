// Rows are kept by name. A row that is no longer listed stays while this box
// still has work there, because streams finish on endpoints that are leaving.
// Until it is removed, it gets no new work.

#include "pinford/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <cstring>

#include "pinford/runner_cost.h"

namespace pinford {

EndpointTable::EndpointTable(std::string hall, const Options& options,
                             Random random)
    : hall_(std::move(hall)),
      options_(options),
      random_(random),
      permits_(options.permits) {}

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
  std::erase_if(rows_, [](const auto& e) { return IsObsolete(e.second); });
}

bool EndpointTable::IsObsolete(const Row& row) {
  return !row.is_listed && row.own == 0 && row.lost.streams == 0;
}

void EndpointTable::OnListed(const ListedEndpoint& listed) {
  auto [it, fresh] = rows_.try_emplace(listed.name);
  Row& row = it->second;
  if (fresh) {
    row.id = NameId(listed.name);
    row.deadline = StepDeadline(options_.deadline);
  }
  if (listed.incarnation > row.listed.incarnation) {
    row.failures = 0;
    row.backoff_until = Time{};
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
  it->second.withheld = false;
  if (IsObsolete(it->second)) rows_.erase(it);
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

void EndpointTable::OnRestart(Time now, const std::string& name) {
  Row* row = Find(name);
  if (row == nullptr) return;
  Row fresh;
  fresh.id = row->id;
  fresh.listed = row->listed;
  fresh.is_listed = row->is_listed;
  fresh.leaving = row->leaving;
  fresh.withheld = row->withheld;
  fresh.deadline = StepDeadline(options_.deadline);
  fresh.restarted = now;
  fresh.lost.streams = row->lost.streams + row->own;
  fresh.lost.work = row->lost.work + row->own_work;
  fresh.lost.entries = row->lost.entries + row->own_entries;
  *row = std::move(fresh);
}

Time EndpointTable::LastRestartOf(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? row->restarted : Time{};
}

// The incarnation that a stream ran on is not recorded. Streams of earlier
// incarnations break, so they are counted as the first to end; any error is
// corrected with the last of them.
void EndpointTable::EndOrphaned(int work, Row* row) {
  row->lost.work -= work;
  if (--row->lost.streams > 0) return;
  row->own_work = std::max(0, row->own_work + row->lost.work);
  row->lost.work = 0;
}

void EndpointTable::InvalidateReport(const std::string& name) {
  if (Row* row = Find(name)) row->reported = Time::min();
}

void EndpointTable::OnPeerCounts(const PeerCounts& counts) {
  if (!enabled(Mechanism::kPeerCounts)) return;
  for (auto& [name, row] : rows_) {
    const auto it = counts.find(row.id);
    row.peers = it != counts.end() ? it->second : PeerCount();
  }
}

void EndpointTable::OnObserved(Time now, const std::string& name, double work,
                               int entries) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->observed = now;
  if (!enabled(Mechanism::kObservedMemory)) return;
  row->unattributed_work = work - WorkOf(*row);
  row->unattributed_entries = entries - row->own_entries - row->peers.entries;
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
    EndOrphaned(work, row);
    return;
  }
  if (row->own == 0) return;
  row->own--;
  row->own_work = std::max(0, row->own_work - work);
}

void EndpointTable::OnPrefillSent(Time now, const std::string& name,
                                  double tokens) {
  Row* row = Find(name);
  if (row == nullptr || !row->report) return;
  if (!enabled(Mechanism::kPrefillLoad)) return;
  row->prefill_load.Add(now, tokens * row->report->prefill_seconds,
                        options_.load_window);
}

void EndpointTable::OnPrefillQueued(const std::string& name, double tokens) {
  if (Row* row = Find(name)) row->queued_tokens += tokens;
}

void EndpointTable::OnPrefillDone(const std::string& name, double tokens) {
  if (Row* row = Find(name))
    row->queued_tokens = std::max(0.0, row->queued_tokens - tokens);
}

void EndpointTable::OnTransferSent(Time now, double tokens) {
  if (!enabled(Mechanism::kTransferLoad)) return;
  transfer_load_.Add(now, tokens * transfer_seconds_per_token_,
                     options_.load_window);
}

void EndpointTable::OnTransferDone(double tokens) {
  queued_transfer_tokens_ = std::max(0.0, queued_transfer_tokens_ - tokens);
}

// Seconds for one token at the links' present load. Each pair of halls has its
// own link; transfers are assumed to spread evenly over them.
double EndpointTable::TransferCost(Time now, int halls) const {
  constexpr double kMinIdle = 0.01;
  const Duration span = options_.load_window;
  const bool pairs = enabled(Mechanism::kLinkPairs);
  const int links = pairs ? std::max(1, halls * (halls - 1) / 2) : 1;
  const double utilization =
      boxes_ * transfer_load_.At(now, span) / ToSeconds(span) / links;
  const double queue_seconds = enabled(Mechanism::kPrefillBacklog)
                                   ? boxes_ * queued_transfer_tokens_ *
                                         transfer_seconds_per_token_ / links
                                   : 0;
  return options_.cross_hall_seconds * QueueFactor(queue_seconds) /
         std::max(kMinIdle, 1 - utilization);
}

void EndpointTable::OnSuccess(const std::string& name, double work,
                              Duration took) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->failures = 0;
  row->backoff_until = Time{};
  row->deadline.Measure(work, took);
}

void EndpointTable::OnFailure(Time now, const std::string& name, Time sent) {
  Row* row = Find(name);
  if (row == nullptr || sent < row->restarted) return;
  row->failed = now;
  // A step sent under the previous deadline is no evidence about the present
  // one.
  if (sent >= row->deadline_doubled) {
    row->deadline.BackOff();
    row->deadline_doubled = now;
  }
  // Streams that share an endpoint fail together and count as one failure.
  if (now < row->backoff_until) return;
  constexpr int kMaxDoublings = 10;
  Duration backoff =
      options_.backoff * (1 << std::min(row->failures, kMaxDoublings));
  row->backoff_until = now + std::min(backoff, options_.max_backoff);
  row->failures++;
}

void EndpointTable::ForgiveFailures(const std::string& name, Time since) {
  Row* row = Find(name);
  if (row == nullptr || row->failed < since) return;
  row->failures = 0;
  row->backoff_until = Time{};
}

bool EndpointTable::IsUp(const Row& row) {
  return row.is_listed && !row.down && !row.withheld &&
         row.listed.state == ListedState::kLive && !IsLeaving(row);
}

void EndpointTable::SetDown(const std::string& name, bool down,
                            DownEvidence evidence) {
  Row* row = Find(name);
  if (row == nullptr) return;
  row->down = down;
  row->down_evidence = evidence;
}

void EndpointTable::SetWithheld(const std::string& name, bool withheld) {
  if (Row* row = Find(name)) row->withheld = withheld;
}

void EndpointTable::SetSlowdown(const std::string& name, double slowdown) {
  if (!enabled(Mechanism::kSlowdownCost)) return;
  if (Row* row = Find(name)) row->slowdown = std::max(1.0, slowdown);
}

void EndpointTable::OnFull(Time now, const std::string& name) {
  if (Row* row = Find(name)) row->full_until = now + options_.full_backoff;
}

// The backoff that the endpoint requested takes precedence over this box's own
// estimates and holds whatever else is learned about it: boxes that used the
// estimates alone returned long before that backoff ended.
bool EndpointTable::IsBackingOff(Time now, const Row& row) const {
  return now < row.full_until ||
         backoffs_.Remaining(now, row.listed.name) > Duration(0);
}

bool EndpointTable::MaySend(Time now, const Row& row) const {
  return IsUp(row) && !IsBackingOff(now, row);
}

bool EndpointTable::MaySend(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr && MaySend(now, *row);
}

bool EndpointTable::TakesWorkAsLastResort(Time now, const Row& row) const {
  if (!MaySend(now, row)) return false;
  if (!row.report || row.reported + options_.report_valid < now) return false;
  const bool last_resort = enabled(Mechanism::kLastResort);
  const Time last_contact =
      last_resort ? std::max(row.reported, row.observed) : row.reported;
  return now >= row.backoff_until || last_contact > row.failed;
}

bool EndpointTable::TakesNewWork(Time now, const Row& row) const {
  return TakesWorkAsLastResort(now, row) && now >= row.backoff_until;
}

bool EndpointTable::TakesNewWork(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr && TakesNewWork(now, *row);
}

bool EndpointTable::IsLeaving(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr && IsLeaving(*row);
}

bool EndpointTable::IsLeaving(const Row& row) {
  return row.leaving.contains(IncarnationOf(row));
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
  // Peers report work; the work of one stream is known from the load report.
  const double per_stream =
      reported > 0
          ? std::max(1.0, static_cast<double>(row.report->work) / reported)
          : std::max(1, row.report ? row.report->holds.size() : 1);
  return row.own + std::max<double>(others, row.peers.work / per_stream);
}

double EndpointTable::WorkOf(const Row& row) const {
  const int reported = row.report ? row.report->work : 0;
  const int others =
      row.peers.work > 0 ? row.peers.work : reported - row.own_work_at_report;
  const int own_change = row.own_work - row.own_work_before;
  const int expected = std::max(others, 0) + peer_boxes_ * own_change;
  return row.own_work + std::max(expected, 0);
}

double EndpointTable::UnattributedFraction(Time now, const Row& row) const {
  if (row.observed == Time{}) return 0;
  return std::exp(-ToSeconds(now - row.observed) /
                  ToSeconds(options_.unattributed_decay));
}

double EndpointTable::MemoryUsedOf(Time now, const Row& row) const {
  return std::max(0.0, WorkOf(row) + row.unattributed_work *
                                         UnattributedFraction(now, row));
}

double EndpointTable::MemoryUtilizationOf(Time now, const Row& row) const {
  const bool known = row.report && row.report->memory_capacity > 0;
  return known ? MemoryUsedOf(now, row) / row.report->memory_capacity : 0;
}

double EndpointTable::MemoryUtilizationOf(Time now,
                                          const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? MemoryUtilizationOf(now, *row) : 0;
}

double EndpointTable::LayerWorkOf(Time now, const std::string& name) const {
  const Row* row = Find(name);
  const bool known =
      row != nullptr && row->report && row->report->memory_capacity > 0;
  if (!known || row->report->holds.empty()) return 0;
  return MemoryUsedOf(now, *row) / row->report->holds.size();
}

double EndpointTable::StepSecondsOf(const std::string& name, int layers,
                                    bool paced) const {
  const Row* row = Find(name);
  if (row == nullptr || !row->report) return 0;
  return row->report->layer_seconds * layers * (paced ? row->slowdown : 1);
}

double EndpointTable::PrefillLoadOf(Time now, const Row& row) const {
  const Duration span = options_.load_window;
  return boxes_ * row.prefill_load.At(now, span) / ToSeconds(span);
}

double EndpointTable::PrefillQueueSecondsOf(const Row& row) const {
  if (!enabled(Mechanism::kPrefillBacklog) || !row.report) return 0;
  return boxes_ * row.queued_tokens * row.report->prefill_seconds *
         row.slowdown;
}

double EndpointTable::PrefillQueueSecondsOf(const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? PrefillQueueSecondsOf(*row) : 0;
}

double EndpointTable::PrefillLoadOf(Time now, const std::string& name) const {
  const Row* row = Find(name);
  return row != nullptr ? PrefillLoadOf(now, *row) : 0;
}

bool EndpointTable::HasMemoryFor(Time now, const Row& row,
                                 double layer_work) const {
  if (row.report->memory_capacity <= 0 || !enabled(Mechanism::kMemoryLimit))
    return true;
  const double needed = layer_work * row.report->holds.size();
  return MemoryUsedOf(now, row) + needed <=
         row.report->memory_capacity * options_.max_memory_utilization;
}

double EndpointTable::CostOf(Time now, const Row& row,
                             const Means& means) const {
  const double idle = row.report->layer_seconds;
  if (row.report->memory_capacity <= 0) {
    return LoadedLayerCost(idle, BacklogOf(row), means.backlog, options_.cost);
  }
  const double weight =
      enabled(Mechanism::kSpeedWeight) ? SpeedWeight(gap_share_) : 1;
  return LayerCost({idle, row.slowdown, PrefillLoadOf(now, row),
                    MemoryUtilizationOf(now, row), PrefillQueueSecondsOf(row)},
                   means.layer_seconds, weight);
}

double EndpointTable::FirstStageCost(Time now, const Row& row) const {
  if (!enabled(Mechanism::kFirstStageSlots)) return 0;
  const double entries =
      row.own_entries + row.peers.entries +
      row.unattributed_entries * UnattributedFraction(now, row);
  return FirstStageSlotCost(entries, row.report->slots);
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

std::vector<LeavingMark> EndpointTable::LeavingMarks() const {
  std::vector<LeavingMark> marks;
  for (const auto& [name, row] : rows_) {
    if (IsLeaving(row)) marks.push_back({name, IncarnationOf(row)});
  }
  return marks;
}

}  // namespace pinford
