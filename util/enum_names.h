// Name tables for enum classes.
//
// An enum that appears outside the process (in a response, a log line or a
// settings file) has one constant table of EnumName rows. Formatting and
// parsing use the same table, so they cannot disagree.

#ifndef UTIL_ENUM_NAMES_H_
#define UTIL_ENUM_NAMES_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace pinford {

template <typename E>
struct EnumName {
  E value;
  std::string_view name;
};

// Returns the name of `value`, or "?" if it is not in the table.
template <typename E, size_t N>
constexpr std::string_view NameIn(const EnumName<E> (&table)[N], E value) {
  for (const EnumName<E>& row : table) {
    if (row.value == value) return row.name;
  }
  return "?";
}

// Returns the value named `name`, or nullopt if it is not in the table.
template <typename E, size_t N>
constexpr std::optional<E> ValueIn(const EnumName<E> (&table)[N],
                                   std::string_view name) {
  for (const EnumName<E>& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace pinford

#endif  // UTIL_ENUM_NAMES_H_
