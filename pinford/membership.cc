#include "pinford/membership.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <unordered_set>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<MemberChange> kMemberChangeNames[] = {
    {MemberChange::kJoined, "joined"},
    {MemberChange::kLeaving, "leaving"},
    {MemberChange::kLost, "lost"},
};

std::string_view MemberChangeName(MemberChange c) {
  return NameIn(kMemberChangeNames, c);
}

// Reduces `list` to a random `count` of its elements.
template <typename T>
static void KeepRandom(size_t count, Random& random, std::vector<T>* list) {
  if (list->size() <= count) return;
  for (size_t i = 0; i < count; i++) {
    std::swap((*list)[i], (*list)[i + random() % (list->size() - i)]);
  }
  list->resize(count);
}

Membership::Membership(MemberRow self, const std::vector<Address>& seeds,
                       const Options& options, Random random)
    : self_(std::move(self)), options_(options), random_(random) {
  for (const Address& seed : seeds) {
    const std::string address = seed.ToString();
    if (address != self_.address) other_seeds_.push_back(address);
  }
}

void Membership::set_version(DocumentKind kind, uint64_t version) {
  self_.versions[IndexOf(kind)] = version;
}

void Membership::set_counts(std::vector<EndpointCount> counts) {
  // The greatest counts matter most: they show which endpoints to avoid.
  std::sort(counts.begin(), counts.end(),
            [](const EndpointCount& a, const EndpointCount& b) {
              return a.count > b.count;
            });
  if (counts.size() > options_.max_counts) counts.resize(options_.max_counts);
  counts_ = std::move(counts);
}

void Membership::set_load(uint32_t running, uint32_t waiting) {
  running_ = running;
  waiting_ = waiting;
}

void Membership::set_leaving_endpoints(std::vector<LeavingMark> marks) {
  std::set<LeavingMark> now(marks.begin(), marks.end());
  std::vector<LeavingMark> ordered;
  ordered.reserve(now.size());
  for (const LeavingMark& mark : now) {
    if (!leaving_set_.contains(mark)) ordered.push_back(mark);
  }
  for (const LeavingMark& mark : leaving_) {
    if (now.contains(mark)) ordered.push_back(mark);
  }
  leaving_ = std::move(ordered);
  leaving_set_ = std::move(now);
}

void Membership::AddLeavingMarks(Digest* d) {
  const size_t latest = std::min(leaving_.size(), options_.max_leaving / 2);
  const auto others = leaving_.begin() + static_cast<ptrdiff_t>(latest);
  d->leaving.assign(leaving_.begin(), others);
  std::sample(others, leaving_.end(), std::back_inserter(d->leaving),
              options_.max_leaving - latest, random_);
}

void Membership::SetFreshness(Digest* d) const {
  d->freshness_age_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(ToMillis(freshness_age_), 0, UINT32_MAX));
}

Duration Membership::IntervalFor(size_t bytes) {
  const Duration by_budget =
      FromSeconds(static_cast<double>(bytes) / options_.bytes_per_second);
  interval_ =
      std::clamp(by_budget, options_.min_interval, options_.max_interval);
  return interval_;
}

// A heartbeat reaches all n members in about log2(n) rounds; four times that
// and a margin for lost datagrams keep false suspicion rare. Where digests
// carry only a part of the heartbeats, it takes longer in proportion; one of
// another hall also arrives in fewer digests.
Duration Membership::SuspectAfter(bool local) const {
  const double rounds =
      4 * std::log2(static_cast<double>(members_.size()) + 2) + 8;
  const size_t members =
      local ? members_.size() - remote_members_ : remote_members_;
  const size_t drawn =
      local ? options_.max_local_heartbeats : options_.max_remote_heartbeats;
  const double parts =
      static_cast<double>(members) / static_cast<double>(drawn);
  const double factor =
      (local ? 1 : options_.remote_factor) * std::max(1.0, parts);
  const double micros = static_cast<double>(interval_.count()) * rounds;
  const auto least =
      std::max(micros, static_cast<double>(options_.min_suspect.count()));
  return Duration(static_cast<int64_t>(least * factor));
}

Duration Membership::SuspectAfter(const Member& member) const {
  const SuspectTimes::Key key{members_.size(), remote_members_, interval_};
  if (suspect_times_.key != key)
    suspect_times_ = {key, SuspectAfter(true), SuspectAfter(false)};
  const bool local = member.row.hall == self_.hall;
  return local ? suspect_times_.local : suspect_times_.remote;
}

bool Membership::Suspected(Time now, const Member& member) const {
  return now - member.last_heartbeat > SuspectAfter(member);
}

Digest Membership::FullDigest(Time now) {
  Digest d;
  d.sender = self_;
  std::vector<const std::pair<const std::string, Member>*> local;
  std::vector<const std::pair<const std::string, Member>*> remote;
  std::vector<const MemberRow*> joined;
  for (const auto& entry : members_) {
    const Member& m = entry.second;
    if (Suspected(now, m)) continue;
    if (now - m.first_seen < options_.joined_window) joined.push_back(&m.row);
    (m.row.hall == self_.hall ? local : remote).push_back(&entry);
  }
  KeepRandom(options_.max_joined, random_, &joined);
  for (const MemberRow* row : joined) d.joined.push_back(*row);
  KeepRandom(options_.max_local_heartbeats, random_, &local);
  KeepRandom(options_.max_remote_heartbeats, random_, &remote);
  local.insert(local.end(), remote.begin(), remote.end());
  for (const auto* entry : local) {
    const MemberRow& row = entry->second.row;
    d.heartbeats.push_back(
        {NameId(entry->first), row.incarnation, row.heartbeat});
  }
  AddLeavingMarks(&d);
  d.counts = counts_;
  d.running = running_;
  d.waiting = waiting_;
  SetFreshness(&d);
  return d;
}

Digest Membership::SmallDigest() {
  self_.heartbeat++;
  Digest d;
  d.sender = self_;
  const size_t latest = std::min(leaving_.size(), options_.max_leaving / 2);
  d.leaving.assign(leaving_.begin(),
                   leaving_.begin() + static_cast<ptrdiff_t>(latest));
  SetFreshness(&d);
  return d;
}

std::optional<std::string> Membership::SyncFrom(Time now) {
  if (now < next_sync_) return std::nullopt;
  const bool joining = now < join_until_;
  if (joining) next_refresh_ = join_until_ + options_.sync_interval;
  if (!joining && now >= next_refresh_) {
    next_refresh_ = now + options_.refresh_interval;
    if (sync_from_.empty()) sync_from_ = PickLocal(now);
  }
  if (sync_from_.empty() && joining) {
    // Now and then from a seed even so: those of a hall that started together
    // may know only each other.
    constexpr uint64_t kSeedEvery = 3;
    if (joins_++ % kSeedEvery != 0) sync_from_ = PickLocal(now);
    if (sync_from_.empty()) sync_from_ = PickSeed();
  }
  if (sync_from_.empty()) return std::nullopt;
  next_sync_ =
      now + (joining ? options_.join_interval : options_.sync_interval);
  std::string from;
  from.swap(sync_from_);
  return from;
}

MembersQuery Membership::Query() const {
  MembersQuery query;
  query.hall = self_.hall;
  query.known.reserve(members_.size() + 1);
  query.known.push_back(RowId(self_));
  for (const auto& [name, m] : members_) query.known.push_back(RowId(m.row));
  return query;
}

std::vector<MemberRow> Membership::RowsFor(Time now,
                                           const MembersQuery& query) {
  const std::unordered_set<uint32_t> known(query.known.begin(),
                                           query.known.end());
  std::vector<const MemberRow*> local;  // in the hall of the sender
  std::vector<const MemberRow*> others;
  const auto add = [&](const MemberRow& row) {
    if (known.contains(RowId(row))) return;
    (row.hall == query.hall ? local : others).push_back(&row);
  };
  add(self_);
  for (const auto& [name, m] : members_) {
    if (!Suspected(now, m)) add(m.row);
  }
  // Random ones, so that boxes that ask several others learn more from each.
  size_t left = MaxRows(now, query);
  KeepRandom(left, random_, &local);
  left -= local.size();
  KeepRandom(left, random_, &others);
  local.insert(local.end(), others.begin(), others.end());
  std::vector<MemberRow> rows;
  rows.reserve(local.size());
  for (const MemberRow* row : local) rows.push_back(*row);
  row_budget_.Take(now, rows.size() * kRowBytes);
  return rows;
}

size_t Membership::MaxRows(Time now, const MembersQuery& query) const {
  if (row_budget_.WaitTime(now) > Duration(0)) return kMinRows;
  // Boxes of an earlier version know themselves, but do not say so: they take
  // the rows of one reply for all.
  return query.known.empty() ? members_.size() + 1 : kMaxRows;
}

std::vector<std::pair<std::string, MemberChange>> Membership::OnRows(
    Time now, const std::vector<MemberRow>& rows) {
  std::vector<std::pair<std::string, MemberChange>> changes;
  for (const MemberRow& row : rows) OnRow(now, row, false, &changes);
  // There may be more to learn, at least from others.
  const bool learned = changes.size() >= kMinRows;
  if (learned && now < join_until_ + options_.join_period) {
    join_until_ = std::max(join_until_, now + 2 * options_.join_interval);
  }
  return changes;
}

std::optional<std::string> Membership::PickTarget(Time now) {
  std::vector<std::string> local;
  std::vector<std::string> remote;
  for (const auto& [name, m] : members_) {
    if (Suspected(now, m)) continue;
    (m.row.hall == self_.hall ? local : remote).push_back(m.row.address);
  }
  const bool go_remote =
      ticks_ % options_.other_hall_every == 0 || local.empty();
  const std::vector<std::string>& from =
      go_remote && !remote.empty() ? remote : local;
  if (from.empty()) return std::nullopt;
  return from[random_() % from.size()];
}

std::string Membership::PickSeed() {
  if (other_seeds_.empty()) return "";
  return other_seeds_[random_() % other_seeds_.size()];
}

std::string Membership::PickLocal(Time now) {
  std::vector<const std::string*> local;
  for (const auto& [name, m] : members_) {
    if (m.row.hall == self_.hall && !Suspected(now, m))
      local.push_back(&m.row.address);
  }
  return local.empty() ? "" : *local[random_() % local.size()];
}

int Membership::SeedPeriod() const {
  return std::max(kMinSeedPeriod, static_cast<int>(members_.size()) / 4);
}

std::vector<Membership::Datagram> Membership::TickDatagrams(Time now) {
  if (ticks_ == 0) join_until_ = now + options_.join_period;
  ticks_++;
  self_.heartbeat++;
  std::vector<Datagram> out;
  if (std::optional<std::string> to = PickTarget(now)) {
    out.push_back({*to, FullDigest(now)});
  }
  // Seeds are contacted regularly and permanently, so that fleets that were
  // partitioned for long enough to drop each other still merge again. A new box
  // contacts them more than once, as datagrams get lost.
  const bool ask_seed =
      members_.empty() || now < join_until_ || ticks_ % SeedPeriod() == 1;
  const std::string seed = ask_seed ? PickSeed() : "";
  if (!seed.empty()) out.push_back({seed, FullDigest(now)});
  return out;
}

std::vector<Membership::Datagram> Membership::Announce(Time now) {
  std::vector<const std::string*> local;
  std::vector<const std::string*> remote;
  for (const auto& [name, m] : members_) {
    if (Suspected(now, m)) continue;
    (m.row.hall == self_.hall ? local : remote).push_back(&m.row.address);
  }
  KeepRandom(options_.announce_local, random_, &local);
  KeepRandom(options_.announce_remote, random_, &remote);
  std::vector<std::string> to;
  to.reserve(local.size() + remote.size());
  for (const std::string* address : local) to.push_back(*address);
  for (const std::string* address : remote) to.push_back(*address);
  return AnnounceTo(to);
}

std::vector<Membership::Datagram> Membership::AnnounceTo(
    const std::vector<std::string>& addresses) {
  const Digest d = SmallDigest();
  std::vector<Datagram> out;
  out.reserve(addresses.size());
  for (const std::string& address : addresses) out.push_back({address, d});
  return out;
}

static bool Newer(uint64_t incarnation, uint64_t heartbeat,
                  uint64_t than_incarnation, uint64_t than_heartbeat) {
  return std::pair(incarnation, heartbeat) >
         std::pair(than_incarnation, than_heartbeat);
}

// Raises what only grows within one incarnation of a member to the values in
// `from`: the versions of its documents, and that it is leaving. Returns true
// if it is leaving now and was not before.
static bool MergeMonotonic(const MemberRow& from, MemberRow* to) {
  for (int k = 0; k < kDocumentKinds; k++) {
    to->versions[k] = std::max(to->versions[k], from.versions[k]);
  }
  const bool leaves =
      from.state == MemberState::kLeaving && to->state != MemberState::kLeaving;
  if (leaves) to->state = MemberState::kLeaving;
  return leaves;
}

bool Membership::IsDropped(const MemberRow& row, bool direct) const {
  const auto dropped = dropped_.find(row.name);
  if (dropped == dropped_.end()) return false;
  const auto& [incarnation, heartbeat] = dropped->second;
  // Others relay for long what they last heard of a member.
  if (!direct) return row.incarnation <= incarnation;
  return !Newer(row.incarnation, row.heartbeat, incarnation, heartbeat);
}

bool Membership::OnRow(
    Time now, const MemberRow& row, bool direct,
    std::vector<std::pair<std::string, MemberChange>>* changes) {
  if (row.name == self_.name || row.name.empty()) return false;
  if (IsDropped(row, direct)) return false;
  if (dropped_.erase(row.name) > 0) dropped_ids_.erase(NameId(row.name));
  auto [it, fresh] = members_.try_emplace(row.name);
  Member& m = it->second;
  const bool newer =
      Newer(row.incarnation, row.heartbeat, m.row.incarnation, m.row.heartbeat);
  const bool same_incarnation = !fresh && row.incarnation == m.row.incarnation;
  const MemberRow before = m.row;
  if (!fresh && !newer) {
    // A newer heartbeat arrived first by way of another member. Monotonic state
    // in this row may still be new.
    if (!same_incarnation) return false;
    if (MergeMonotonic(row, &m.row)) {
      changes->push_back({row.name, MemberChange::kLeaving});
    }
    return false;
  }
  const bool restarted = !fresh && row.incarnation > m.row.incarnation;
  const bool leaves =
      row.state == MemberState::kLeaving &&
      (fresh || restarted || m.row.state != MemberState::kLeaving);
  if (fresh || restarted) {
    if (restarted && m.row.hall != self_.hall) remote_members_--;
    if (row.hall != self_.hall) remote_members_++;
    m = Member();
    m.first_seen = now;
    names_[NameId(row.name)] = row.name;
    changes->push_back({row.name, MemberChange::kJoined});
  }
  if (leaves) changes->push_back({row.name, MemberChange::kLeaving});
  m.row = row;
  if (same_incarnation) MergeMonotonic(before, &m.row);
  m.last_heartbeat = now;
  return true;
}

std::vector<std::pair<std::string, MemberChange>> Membership::OnDigest(
    Time now, const Digest& digest) {
  std::vector<std::pair<std::string, MemberChange>> changes;
  const bool updated = OnRow(now, digest.sender, true, &changes);
  auto it = members_.find(digest.sender.name);
  if (updated && it != members_.end()) it->second.last_contact = now;
  // Announcements carry neither heartbeats nor counts.
  const bool full = !digest.heartbeats.empty() || !digest.counts.empty();
  if (updated && full && it != members_.end()) {
    Member& m = it->second;
    m.counts = digest.counts;
    m.counts_received = now;
    m.running = digest.running;
    m.waiting = digest.waiting;
  }
  for (const MemberRow& row : digest.joined) OnRow(now, row, false, &changes);
  for (const MemberHeartbeat& beat : digest.heartbeats) {
    auto name = names_.find(beat.id);
    if (name == names_.end()) {
      // A dropped member that is back is as unknown as a new one. Otherwise
      // only its own digests, each sent to one of all members, would report it.
      const auto dropped = dropped_ids_.find(beat.id);
      const bool is_dropped =
          dropped != dropped_ids_.end() && beat.incarnation <= dropped->second;
      const bool known = beat.id == NameId(self_.name) || is_dropped;
      if (!known) sync_from_ = digest.sender.address;
      continue;
    }
    auto found = members_.find(name->second);
    if (found == members_.end()) continue;
    Member& m = found->second;
    if (beat.incarnation != m.row.incarnation) continue;
    if (beat.heartbeat <= m.row.heartbeat) continue;
    m.row.heartbeat = beat.heartbeat;
    m.last_heartbeat = now;
  }
  return changes;
}

std::vector<std::string> Membership::Expire(Time now) {
  std::vector<std::string> lost;
  for (const auto& [name, m] : members_) {
    const double suspect = static_cast<double>(SuspectAfter(m).count());
    const auto drop = static_cast<int64_t>(suspect * options_.drop_factor);
    if (now - m.last_heartbeat > Duration(drop)) lost.push_back(name);
  }
  for (const std::string& name : lost) Drop(name);
  return lost;
}

bool Membership::Drop(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end()) return false;
  const MemberRow& row = it->second.row;
  dropped_[name] = {row.incarnation, row.heartbeat};
  dropped_ids_[NameId(name)] = row.incarnation;
  if (row.hall != self_.hall) remote_members_--;
  names_.erase(NameId(name));
  members_.erase(it);
  return true;
}

void Membership::Refute(Time now) {
  if (now < next_refutation_) return;
  next_refutation_ = now + kRefutationInterval;
  self_.incarnation++;
}

bool Membership::IsElected(Time now, const std::string& role, int count) const {
  const uint64_t own = RendezvousWeight(self_.name, role);
  int before = 0;
  for (const auto& [name, m] : members_) {
    const bool eligible = m.row.hall == self_.hall && IsLive(now, m);
    if (eligible && RendezvousWeight(name, role) > own) before++;
  }
  return before < count;
}

std::vector<std::string> Membership::RandomLive(Time now, size_t count) {
  std::vector<const MemberRow*> live;
  for (const auto& [name, m] : members_) {
    if (IsLive(now, m)) live.push_back(&m.row);
  }
  std::vector<const MemberRow*> drawn;
  std::sample(live.begin(), live.end(), std::back_inserter(drawn), count,
              random_);
  std::vector<std::string> addresses;
  addresses.reserve(drawn.size());
  for (const MemberRow* row : drawn) addresses.push_back(row->address);
  return addresses;
}

std::map<std::string_view, std::vector<std::string>> Membership::LiveByHall(
    Time now) const {
  std::map<std::string_view, std::vector<std::string>> halls;
  for (const auto& [name, m] : members_) {
    if (IsLive(now, m)) halls[m.row.hall].push_back(m.row.address);
  }
  return halls;
}

std::vector<std::string> Membership::RandomLocal(Time now, size_t count) {
  std::vector<std::string> local = std::move(LiveByHall(now)[self_.hall]);
  std::shuffle(local.begin(), local.end(), random_);
  local.resize(std::min(count, local.size()));
  return local;
}

std::vector<std::string> Membership::RandomRemote(Time now, size_t count) {
  auto by_hall = LiveByHall(now);
  by_hall.erase(self_.hall);
  std::vector<std::vector<std::string>> halls;
  for (auto& [hall, members] : by_hall) {
    std::shuffle(members.begin(), members.end(), random_);
    halls.push_back(std::move(members));
  }
  std::shuffle(halls.begin(), halls.end(), random_);
  std::vector<std::string> drawn;
  // One of each hall in turn.
  for (size_t turn = 0; drawn.size() < count; turn++) {
    const size_t before = drawn.size();
    for (const auto& members : halls) {
      if (turn < members.size() && drawn.size() < count)
        drawn.push_back(members[turn]);
    }
    if (drawn.size() == before) break;
  }
  return drawn;
}

std::vector<const MemberRow*> Membership::RankedLive(Time now,
                                                     const std::string& hall,
                                                     const std::string& key,
                                                     size_t count) const {
  std::vector<std::pair<uint64_t, const MemberRow*>> ranked;
  const auto consider = [&](const MemberRow& row) {
    if (!hall.empty() && row.hall != hall) return;
    ranked.emplace_back(RendezvousWeight(row.name, key), &row);
  };
  consider(self_);
  for (const auto& [name, m] : members_) {
    if (IsLive(now, m)) consider(m.row);
  }
  const size_t n = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + n, ranked.end(),
                    std::greater<>());
  std::vector<const MemberRow*> rows;
  rows.reserve(n);
  for (size_t i = 0; i < n; i++) rows.push_back(ranked[i].second);
  return rows;
}

std::vector<std::string> Membership::RendezvousLive(Time now,
                                                    const std::string& key,
                                                    size_t count) const {
  std::vector<std::string> addresses;
  for (const MemberRow* row : RankedLive(now, "", key, count)) {
    if (row != &self_) addresses.push_back(row->address);
  }
  return addresses;
}

std::vector<std::string> Membership::RendezvousInHall(Time now,
                                                      const std::string& hall,
                                                      const std::string& key,
                                                      size_t count) const {
  std::vector<const MemberRow*> rows = RankedLive(now, hall, key, count);
  if (rows.empty()) rows = RankedLive(now, "", key, count);
  std::vector<std::string> addresses;
  addresses.reserve(rows.size());
  for (const MemberRow* row : rows) addresses.push_back(row->address);
  return addresses;
}

int Membership::live_boxes(Time now) const {
  int n = 1;
  for (const auto& [name, m] : members_) {
    if (IsLive(now, m)) n++;
  }
  return n;
}

PeerCounts Membership::SumOfCounts(Time now) const {
  constexpr Duration kMaxCountsAge = seconds(5);
  PeerCounts sums;
  int reporting = 0;
  for (const auto& [name, m] : members_) {
    if (now - m.counts_received > kMaxCountsAge) continue;
    reporting++;
    for (const EndpointCount& c : m.counts) {
      PeerCount& sum = sums[c.id];
      sum.work += c.count;
      sum.entries += c.entries;
    }
  }
  const int others = live_boxes(now) - 1;
  if (reporting == 0 || reporting >= others) return sums;
  for (auto& [id, sum] : sums) {
    sum.work = sum.work * others / reporting;
    sum.entries = sum.entries * others / reporting;
  }
  return sums;
}

}  // namespace pinford
