// The form in which the quarantined requests are kept in the store: a JSON list
// of crash records. Ages are relative to the time of writing.

#ifndef PINFORD_FORWARDING_QUARANTINE_DOCUMENT_H_
#define PINFORD_FORWARDING_QUARANTINE_DOCUMENT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pinford/peer_messages.h"

namespace pinford {

std::string WriteQuarantine(const std::vector<CrashRecord>& records);
// nullopt if malformed or larger than a CrashNotice may be.
std::optional<std::vector<CrashRecord>> ParseQuarantine(std::string_view text);

}  // namespace pinford

#endif  // PINFORD_FORWARDING_QUARANTINE_DOCUMENT_H_
