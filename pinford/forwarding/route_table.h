// Looks up the route and the customer of a request.
//
// Built once for each configuration and replaced as a whole. A route is found
// by host and longest path prefix. Prefixes end with a slash, so only the
// slashes of the path are tried, longest first, and the cost of a lookup does
// not depend on the number of routes.

#ifndef PINFORD_FORWARDING_ROUTE_TABLE_H_
#define PINFORD_FORWARDING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "pinford/forwarding/service_configuration.h"

namespace pinford {

class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const ServiceConfiguration> config);

  const ServiceConfiguration& configuration() const { return *config_; }
  uint64_t version() const { return config_->version; }

  // `host` may include a port, and `target` a query. Returns null if there is
  // no route.
  const Route* Find(std::string_view host, std::string_view target) const;
  // Returns null for an unknown key.
  const Customer* CustomerOf(std::string_view key) const;
  // Whether requests on `route` must carry a customer's key.
  bool NeedsKey(const Route& route) const {
    return config_->customers.has_value() && !route.anonymous;
  }

 private:
  using Prefixes = std::unordered_map<std::string, const Route*>;

  std::shared_ptr<const ServiceConfiguration> config_;
  std::unordered_map<std::string, Prefixes> hosts_;  // by host in lower case
  std::unordered_map<std::string, const Customer*> keys_;
};

// Chooses a service at random by weight, with `draw` from [0, 1). Returns "" if
// no service has a positive weight.
const std::string& DrawService(const Route& route, double draw);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_ROUTE_TABLE_H_
