// An order to a runner: hold this range, and drop what you held.
//
// Orders state the desired holding, not a change, so a repeated order has no
// effect. Each carries the fencing token of the lease under which it was
// issued. Some runners check it and refuse any token lower than they have seen;
// some do not. The platform lists which do (checks_fence).

#ifndef PINFORD_ORDER_H_
#define PINFORD_ORDER_H_

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "pinford/placement.h"

namespace pinford {

struct Order {
  uint64_t token = 0;
  uint64_t plan = 0;  // number of the plan that it comes from
  Holding hold;
};

enum class OrderStatus {
  kDone,
  kFenced,  // refused: a higher token has been seen
  kLost,    // outcome unknown
};

std::string WriteOrder(const Order& order);
std::optional<Order> ParseOrder(std::string_view json);

template <typename C>
concept OrderClient = requires(C c, const std::string& runner,
                               const Order& order, Duration limit,
                               std::function<void(OrderStatus)> fn) {
  {c.SendOrder(runner, order, limit, fn)};
};

}  // namespace pinford

#endif  // PINFORD_ORDER_H_
