#include "pinford/order.h"

#include "util/json.h"

namespace pinford {

std::string WriteOrder(const Order& order) {
  return DumpJson(Json{{"token", order.token},
                       {"plan", order.plan},
                       {"model", order.hold.model},
                       {"version", order.hold.version},
                       {"begin", order.hold.range.begin},
                       {"end", order.hold.range.end}});
}

std::optional<Order> ParseOrder(std::string_view json) {
  const Json v = ParseJson(json);
  Order order;
  order.token = JsonField<uint64_t>(v, "token", 0);
  order.plan = JsonField<uint64_t>(v, "plan", 0);
  order.hold.model = JsonField<std::string>(v, "model", "");
  order.hold.version = JsonField<std::string>(v, "version", "");
  order.hold.range = {JsonField(v, "begin", 0), JsonField(v, "end", 0)};
  const bool valid = !order.hold.model.empty() && !order.hold.range.empty() &&
                     order.hold.range.begin >= 0;
  if (!valid) return std::nullopt;
  return order;
}

}  // namespace pinford
