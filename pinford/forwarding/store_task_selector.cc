#include "pinford/forwarding/store_task_selector.h"

#include <algorithm>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<StoreTask> kStoreTaskNames[] = {
    {StoreTask::kNone, "none"},        {StoreTask::kMirror, "mirror"},
    {StoreTask::kStandIn, "stand_in"}, {StoreTask::kPlan, "plan"},
    {StoreTask::kReadOnce, "look"},
};

std::string_view StoreTaskName(StoreTask t) {
  return NameIn(kStoreTaskNames, t);
}

bool StoreTaskSelector::Lacks(Time now, Time fresh_as_of) const {
  if (fresh_as_of == Time{}) return now - started_ >= options_.first_look;
  return now - fresh_as_of > options_.look_after;
}

Duration StoreTaskSelector::Pause(double least, double most, int hall_boxes) {
  const double boxes = static_cast<double>(hall_boxes) / options_.looks_of_hall;
  std::uniform_real_distribution<double> part(least, most);
  return FromSeconds(ToSeconds(options_.look_pause) * std::max(1.0, boxes) *
                     part(random_));
}

StoreTask StoreTaskSelector::ChooseTask(Time now, Time fresh_as_of,
                                        SourceSelector* roster) {
  const bool joined = seed_ || now - started_ >= options_.join;
  if (joined && roster->rank(now) == 0) return StoreTask::kMirror;
  if (joined && roster->stands_in(now)) return StoreTask::kStandIn;
  if (plans_) return StoreTask::kPlan;
  const bool may_look = now - started_ >= options_.look_for_caller;
  if (fresh_as_of == Time{} && may_look &&
      std::exchange(caller_waits_, false)) {
    return StoreTask::kReadOnce;
  }
  if (!Lacks(now, fresh_as_of)) {
    next_look_ = Time::max();
    return StoreTask::kNone;
  }
  const int boxes = roster->hall_boxes(now);
  // One that finds itself alone has no more reason to wait for the others.
  if (next_look_ == Time::max() || boxes < drawn_for_) {
    next_look_ = now + Pause(0, 1, boxes);
    drawn_for_ = boxes;
  }
  if (now < next_look_) return StoreTask::kNone;
  next_look_ = now + Pause(0.5, 1.5, boxes);
  drawn_for_ = boxes;
  return StoreTask::kReadOnce;
}

}  // namespace pinford
