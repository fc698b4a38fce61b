#include "pinford/forwarding/store_task_selector.h"

#include <algorithm>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<StoreTask> kStoreTaskNames[] = {
    {StoreTask::kNone, "none"},        {StoreTask::kMirror, "mirror"},
    {StoreTask::kStandby, "stand_in"}, {StoreTask::kPlan, "plan"},
    {StoreTask::kReadOnce, "look"},
};

std::string_view StoreTaskName(StoreTask t) {
  return NameIn(kStoreTaskNames, t);
}

bool StoreTaskSelector::IsStale(Time now, Time fresh_as_of, int hops) const {
  if (fresh_as_of == Time{}) return now - started_ >= options_.first_read_after;
  return now - fresh_as_of >
         options_.read_after_age + options_.read_after_age_per_hop * hops;
}

Duration StoreTaskSelector::RandomPause(double min_factor, double max_factor,
                                        int hall_boxes) {
  const double boxes =
      static_cast<double>(hall_boxes) / options_.hall_reads_per_interval;
  std::uniform_real_distribution<double> factor(min_factor, max_factor);
  return FromSeconds(ToSeconds(options_.read_interval) * std::max(1.0, boxes) *
                     factor(random_));
}

StoreTask StoreTaskSelector::ChooseTask(Time now, Time fresh_as_of,
                                        SourceSelector* selector) {
  const bool joined = seed_ || now - started_ >= options_.join;
  if (joined && selector->rank(now) == 0) return StoreTask::kMirror;
  if (joined && selector->is_active_standby(now)) return StoreTask::kStandby;
  if (is_planner_) return StoreTask::kPlan;
  const bool may_read = now - started_ >= options_.read_for_caller_after;
  if (fresh_as_of == Time{} && may_read &&
      std::exchange(caller_waiting_, false)) {
    return StoreTask::kReadOnce;
  }
  if (!IsStale(now, fresh_as_of, selector->hops(now))) {
    next_read_ = Time::max();
    return StoreTask::kNone;
  }
  const int boxes = selector->hall_boxes(now);
  // A box that finds itself isolated has no reason to leave time for the
  // others.
  if (next_read_ == Time::max() || boxes < hall_boxes_at_draw_) {
    next_read_ = now + RandomPause(0, 1, boxes);
    hall_boxes_at_draw_ = boxes;
  }
  if (now < next_read_) return StoreTask::kNone;
  next_read_ = now + RandomPause(0.5, 1.5, boxes);
  hall_boxes_at_draw_ = boxes;
  return StoreTask::kReadOnce;
}

}  // namespace pinford
