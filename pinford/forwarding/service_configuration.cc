#include "pinford/forwarding/service_configuration.h"

#include <algorithm>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<RequestKind> kRequestKindNames[] = {
    {RequestKind::kIdempotent, "repeatable"},
    {RequestKind::kAtMostOnce, "once"},
    {RequestKind::kStream, "stream"},
};

std::string_view RequestKindName(RequestKind k) {
  return NameIn(kRequestKindNames, k);
}

template <typename T>
static const T* Named(const std::vector<T>& list, std::string_view name) {
  auto it = std::find_if(list.begin(), list.end(),
                         [name](const T& t) { return t.name == name; });
  return it == list.end() ? nullptr : &*it;
}

const AcceleratorKind* EnginePool::Kind(std::string_view name) const {
  return Named(kinds, name);
}

const ServiceSpec* ServiceConfiguration::Service(std::string_view name) const {
  return Named(services, name);
}

bool ServiceConfiguration::RoutesTo(std::string_view service) const {
  return std::any_of(routes.begin(), routes.end(), [service](const Route& r) {
    return std::any_of(
        r.services.begin(), r.services.end(),
        [service](const ServiceShare& s) { return s.service == service; });
  });
}

}  // namespace pinford
