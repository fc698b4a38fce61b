#include <algorithm>
#include <utility>

#include "pinford/forwarding/request_fingerprint.h"
#include "pinford/testing/crash_fleet.h"

namespace pinford {

static constexpr char kBadPart[] = "part:bad";
static constexpr char kRepeatedRequest[] = "repeated";
static constexpr char kPopularRequest[] = "popular";

static std::string Part(const char* name, int i) {
  return std::string(kPromptPartPrefix) + name + std::to_string(i);
}

CrashFleet::CrashFleet(const CrashFleetOptions& options)
    : options_(options),
      random_(options.seed),
      net_(&clock_, options.net, random_()) {
  for (int i = 0; i < options.endpoints; i++) endpoints_.push_back({i});
  for (int i = 0; i < options.sound_callers; i++) ScheduleNext(Kind::kSound);
  for (int i = 0; i < options.popular_callers; i++)
    ScheduleNext(Kind::kPopular);
  clock_.After(options.before_crashes, [this] {
    turned_bad_ = true;
    for (int i = 0; i < options_.bad_callers; i++) ScheduleNext(Kind::kBadPart);
    for (int i = 0; i < options_.repeat_callers; i++)
      ScheduleNext(Kind::kRepeated);
  });
  if (options.mass_crash_interval > Duration(0)) ScheduleMassCrash();
  if (options.flapping > Duration(0)) {
    clock_.After(options.before_crashes, [this] {
      for (size_t i = 0; i < endpoints_.size(); i++) Crash(i);
    });
  }
}

// --- requests --------------------------------------------------------------

CrashFleet::Request CrashFleet::Draw(Kind kind) {
  Request r;
  r.kind = kind;
  r.box = Pick(net_.size());
  r.fingerprint = "request-" + std::to_string(next_number_++);
  if (kind == Kind::kRepeated) r.fingerprint = kRepeatedRequest;
  if (kind == Kind::kPopular) r.fingerprint = kPopularRequest;
  DrawParts(kind, &r);
  return r;
}

void CrashFleet::DrawParts(Kind kind, Request* request) {
  const bool repeats = kind == Kind::kRepeated || kind == Kind::kPopular;
  const int first =
      kind == Kind::kBadPart ? options_.bad_first_parts : options_.first_parts;
  if (options_.first_parts > 0)
    request->parts.push_back(Part("first", repeats ? 0 : Pick(first)));
  const bool bad = kind == Kind::kBadPart || (!repeats && options_.was_sound &&
                                              !turned_bad_ && Pick(10) == 0);
  if (bad) request->parts.emplace_back(kBadPart);
  if (options_.second_parts > 0) {
    const int second = repeats ? 0 : Pick(options_.second_parts);
    request->parts.push_back(Part("second", second));
  }
}

void CrashFleet::ScheduleNext(Kind kind) {
  const Duration pause =
      kind == Kind::kRepeated ? options_.repeat_pause : Duration(kPause);
  const int spread = std::max(1, static_cast<int>(ToMillis(pause)));
  clock_.After(pause + milliseconds(Pick(spread)),
               [this, kind] { Admit(Draw(kind)); });
}

std::vector<std::string> CrashFleet::FeaturesOf(const Request& r) {
  std::vector<std::string> features = r.parts;
  features.push_back(r.fingerprint);
  return features;
}

Suspicion CrashFleet::Assess(const Request& r) {
  return net_.box(r.box).AssessAgain(
      {FeaturesOf(r), r.has_begun(), r.accusations});
}

void CrashFleet::Admit(const Request& r) {
  const bool refused = net_.box(r.box).Refuse(clock_.now(), FeaturesOf(r));
  return refused ? Refuse(r) : Send(r);
}

void CrashFleet::Refuse(const Request& r) {
  const bool sound = CauseOf(r) == nullptr;
  sound_refused_ += sound;
  popular_refused_ += r.kind == Kind::kPopular;
  sound_cut_ += sound && r.has_begun();
  ScheduleNext(r.kind);
}

CrashFleet::Cause* CrashFleet::CauseOf(const Request& r) {
  if (r.kind == Kind::kRepeated) return &repeated_;
  const bool bad =
      std::find(r.parts.begin(), r.parts.end(), kBadPart) != r.parts.end();
  return bad && turned_bad_ ? &bad_part_ : nullptr;
}

// --- runs ------------------------------------------------------------------

void CrashFleet::Send(Request r) {
  std::vector<size_t> up;
  for (size_t i = 0; i < endpoints_.size(); i++) {
    if (endpoints_[i].up) up.push_back(i);
  }
  if (up.empty()) return ScheduleNext(r.kind);
  if (Assess(r) == Suspicion::kQuarantined)
    net_.box(r.box).TakeTrial(clock_.now(), FeaturesOf(r));
  const size_t endpoint = up[random_() % up.size()];
  Cause* cause = CauseOf(r);
  const bool late = cause != nullptr && cause->bound &&
                    clock_.now() > *cause->bound && net_.InContact(r.box);
  if (late) cause->late_sends++;
  r.attempts++;
  const Run run = {next_number_++, r, endpoint, endpoints_[endpoint].id,
                   clock_.now()};
  running_.push_back(run);
  const Duration whole = kFirstEventTime + kAnswerTime - r.answered;
  const Duration crash = cause == &repeated_ ? options_.repeat_crash_time
                                             : options_.part_crash_time;
  if (cause != nullptr && crash < whole)
    clock_.After(crash, [this, n = run.number] { CrashBy(n); });
  const Duration survived =
      kFirstEventTime + CrashLedger::Options().max_part_run_to_crash;
  clock_.After(survived, [this, n = run.number] {
    if (Run* run = Find(n)) PartsSurvived(*run);
  });
  clock_.After(whole, [this, n = run.number] { Complete(n); });
}

CrashFleet::Run* CrashFleet::Find(int number) {
  const auto it =
      std::find_if(running_.begin(), running_.end(),
                   [number](const Run& r) { return r.number == number; });
  return it == running_.end() ? nullptr : &*it;
}

Duration CrashFleet::AnsweringFor(const Run& run) const {
  return std::max(Duration(0), clock_.now() - run.began - kFirstEventTime);
}

void CrashFleet::PartsSurvived(const Run& run) {
  for (const std::string& part : run.request.parts) {
    net_.box(run.request.box)
        .OnSurvived(clock_.now(), part, run.began + kFirstEventTime);
  }
}

void CrashFleet::Record(Run* ended_run, RunEnd end) {
  Run& run = *ended_run;
  const CrashLedger::Options options;
  RunFacts facts;
  facts.end = end;
  facts.status = 200;
  facts.answering = AnsweringFor(run);
  facts.answering_before = run.request.answering_before;
  facts.resumed = facts.midway = run.request.has_begun();
  facts.parts_survived = facts.answering >= options.max_part_run_to_crash;
  const RunFindings findings = FindingsOf(facts, options);
  CrashLedger& ledger = net_.box(run.request.box);
  run.request.accusations +=
      findings.request == FeatureFinding::kMayHaveCrashed;
  if (findings.request == FeatureFinding::kSurvived)
    ledger.OnSurvived(clock_.now(), run.request.fingerprint);
  const CrashLedger::EndedRun ended = {"i-" + std::to_string(run.id), 1,
                                       run.began, true,
                                       facts.answering > Duration(0)};
  if (findings.request == FeatureFinding::kMayHaveCrashed)
    ledger.OnRunEnded(clock_.now(), run.request.fingerprint, ended);
  if (findings.parts != FeatureFinding::kMayHaveCrashed) return;
  for (const std::string& part : run.request.parts) {
    ledger.OnRunEnded(clock_.now(), part, ended);
  }
}

void CrashFleet::Complete(int number) {
  const Run* found = Find(number);
  if (found == nullptr) return;
  Run run = *found;
  std::erase_if(running_,
                [number](const Run& r) { return r.number == number; });
  Record(&run, RunEnd::kSucceeded);
  sound_served_ += CauseOf(run.request) == nullptr;
  popular_served_ += run.request.kind == Kind::kPopular;
  ScheduleNext(run.request.kind);
}

// --- crashes ---------------------------------------------------------------

void CrashFleet::CrashBy(int number) {
  const Run* run = Find(number);
  if (run == nullptr) return;  // another run has crashed the endpoint
  Cause* cause = CauseOf(run->request);
  const int before_bound = cause == &repeated_ ? kRequestCrashesBeforeBound
                                               : kPartCrashesBeforeBound;
  Crash(run->endpoint);
  if (++cause->crashes == before_bound)
    cause->bound = clock_.now() + LedgerNet::kContact;
}

void CrashFleet::Crash(size_t index) {
  Endpoint& e = endpoints_[index];
  e.up = false;
  net_.End("i-" + std::to_string(e.id));
  clock_.After(kRestartTime, [this, index] { Restart(index); });
  std::vector<Run> lost;
  std::erase_if(running_, [&](const Run& r) {
    if (r.id != e.id) return false;
    lost.push_back(r);
    return true;
  });
  for (Run& run : lost) Record(&run, RunEnd::kBroken);
  for (Run& run : lost) {
    run.request.answering_before = AnsweringFor(run);
    run.request.answered += AnsweringFor(run);
    AfterCrash(run.request);
  }
}

void CrashFleet::Restart(size_t index) {
  const int id = next_id_++;
  endpoints_[index] = {id, true};
  const Time flaps_until = Time{} + options_.before_crashes + options_.flapping;
  if (clock_.now() >= flaps_until) return;
  clock_.After(kFlapLife, [this, index, id] {
    if (endpoints_[index].id == id && endpoints_[index].up) Crash(index);
  });
}

void CrashFleet::AfterCrash(Request r) {
  const Suspicion s = Assess(r);
  if (s == Suspicion::kQuarantined) return Refuse(r);
  const bool suspect = s == Suspicion::kSuspect;
  sound_cut_ += suspect && r.has_begun() && CauseOf(r) == nullptr;
  const int most = r.has_begun() ? options_.most_runs : options_.attempts;
  if (suspect || r.attempts >= most) return ScheduleNext(r.kind);
  clock_.After(milliseconds(2), [this, r = std::move(r)] { Send(r); });
}

void CrashFleet::ScheduleMassCrash() {
  clock_.After(options_.mass_crash_interval, [this] {
    for (size_t i = 0; i < endpoints_.size(); i += 2) {
      if (endpoints_[i].up) Crash(i);
    }
    ScheduleMassCrash();
  });
}

}  // namespace pinford
