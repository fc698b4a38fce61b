// Name tables for enum classes.
//
// An enumeration that leaves the process (in an answer, a log line or a
// settings file) has one constant table of EnumName rows beside it. Both
// directions use that table, so a name cannot be written one way and read
// another.

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

// The name of `value`, or "?" when the table lacks it.
template <typename E, size_t N>
constexpr std::string_view NameIn(const EnumName<E> (&table)[N], E value) {
  for (const EnumName<E>& row : table) {
    if (row.value == value) return row.name;
  }
  return "?";
}

// The value called `name`, if the table has it.
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
