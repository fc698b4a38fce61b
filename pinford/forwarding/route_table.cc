#include "pinford/forwarding/route_table.h"

#include <algorithm>
#include <cctype>

namespace pinford {

// Returns the host without its port, in lower case.
static std::string HostName(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

RouteTable::RouteTable(std::shared_ptr<const ServiceConfiguration> config)
    : config_(std::move(config)) {
  for (const Route& route : config_->routes) {
    hosts_[HostName(route.host)][route.prefix] = &route;
  }
  if (!config_->customers) return;
  for (const Customer& customer : *config_->customers) {
    for (const std::string& key : customer.keys) keys_[key] = &customer;
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  auto prefixes = hosts_.find(HostName(host));
  if (prefixes == hosts_.end()) return nullptr;
  std::string path(target.substr(0, target.find('?')));
  while (!path.empty()) {
    const size_t slash = path.rfind('/');
    if (slash == std::string::npos) return nullptr;
    path.resize(slash + 1);
    auto it = prefixes->second.find(path);
    if (it != prefixes->second.end()) return it->second;
    path.pop_back();
  }
  return nullptr;
}

const Customer* RouteTable::CustomerOf(std::string_view key) const {
  auto it = keys_.find(std::string(key));
  return it == keys_.end() ? nullptr : it->second;
}

const std::string& DrawService(const Route& route, double draw) {
  static const std::string kNoService;
  double sum = 0;
  for (const ServiceShare& s : route.services) sum += s.weight;
  double remaining = draw * sum;
  const std::string* last = &kNoService;
  for (const ServiceShare& s : route.services) {
    if (s.weight <= 0) continue;
    last = &s.service;
    remaining -= s.weight;
    if (remaining < 0) break;
  }
  return *last;
}

}  // namespace pinford
