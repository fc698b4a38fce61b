#include "pinford/store.h"

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<StoreStatus> kStoreStatusNames[] = {
    {StoreStatus::kOk, "ok"},
    {StoreStatus::kMissing, "no such key"},
    {StoreStatus::kConflict, "conflict"},
    {StoreStatus::kTimeout, "nothing new"},
    {StoreStatus::kNotSent, "not sent"},
    {StoreStatus::kUnknown, "no reply"},
    {StoreStatus::kCompacted, "history forgotten"},
    {StoreStatus::kRefused, "refused"},
};

std::string_view StoreStatusName(StoreStatus s) {
  return NameIn(kStoreStatusNames, s);
}

}  // namespace pinford
