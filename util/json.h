// Reading JSON without exceptions across an interface.
//
// Include from .cc files only: the JSON library is costly to compile.

#ifndef UTIL_JSON_H_
#define UTIL_JSON_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pinford {

using Json = nlohmann::json;

// Whether brackets outside of strings are nested deeper than `most`.
inline bool NestedDeeperThan(std::string_view text, int most) {
  int depth = 0;
  bool in_string = false;
  for (size_t i = 0; i < text.size(); i++) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') i++;
      if (c == '"') in_string = false;
      continue;
    }
    if (c == '"') in_string = true;
    if ((c == '{' || c == '[') && ++depth > most) return true;
    if (c == '}' || c == ']') depth--;
  }
  return false;
}

// A discarded value if `text` is not JSON or is nested deeper than 64. Looked
// at before: a callback while parsing takes twice the time of the parse.
inline Json ParseJson(std::string_view text) {
  constexpr int kMaxDepth = 64;
  if (NestedDeeperThan(text, kMaxDepth)) {
    return Json(Json::value_t::discarded);
  }
  return Json::parse(text.begin(), text.end(), nullptr, false);
}

// The whole number `v` as a T; nothing if it is none, or T cannot hold it.
template <typename T>
std::optional<T> JsonInteger(const Json& v) {
  if (v.is_number_unsigned()) {
    const auto n = v.get<uint64_t>();
    if (std::in_range<T>(n)) return static_cast<T>(n);
  } else if (v.is_number_integer()) {
    const auto n = v.get<int64_t>();
    if (std::in_range<T>(n)) return static_cast<T>(n);
  }
  return std::nullopt;
}

// The member `key` of object `v` as a T, or `fallback` when it is missing, of
// another type, or beyond what a T holds.
template <typename T>
T JsonField(const Json& v, const char* key, T fallback) {
  if (!v.is_object()) return fallback;
  auto it = v.find(key);
  if (it == v.end()) return fallback;
  if constexpr (std::is_same_v<T, bool>) {
    return it->is_boolean() ? it->get<T>() : fallback;
  } else if constexpr (std::is_floating_point_v<T>) {
    return it->is_number() ? it->get<T>() : fallback;
  } else if constexpr (std::is_integral_v<T>) {
    return JsonInteger<T>(*it).value_or(fallback);
  } else {
    return it->is_string() ? it->get<T>() : fallback;
  }
}

// The member `key` of object `v` if it is an array, else an empty one.
inline const Json& JsonList(const Json& v, const char* key) {
  static const Json kNone = Json::array();
  if (!v.is_object()) return kNone;
  auto it = v.find(key);
  return it != v.end() && it->is_array() ? *it : kNone;
}

// The text of `v`; bytes that are not UTF-8 are replaced.
inline std::string DumpJson(const Json& v) {
  return v.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace pinford

#endif  // UTIL_JSON_H_
