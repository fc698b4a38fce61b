// Logging: short sentences prefixed with the component, and events with named
// fields for searching.
//
//   Log(LogPart::kPeers, LogLevel::kInfo, "Box " + name + " joined.");
//   LogEvent(LogPart::kCallers, LogLevel::kInfo, "request_ended",
//            LogFields().Add("id", id).Add("status", 200));
//
// Lines go to standard output, as text or as one JSON object per line. Logging
// never blocks: lines are appended to a bounded buffer, and FlushLogs writes as
// much of it as the reader accepts. Lines beyond kMaxLogLines between two
// flushes, or that do not fit into the buffer, are dropped, and an event
// reports their number. Warnings have a separate limit, so that a burst of
// refusals does not displace the reason why a response was cut.

#ifndef PINFORD_LOG_H_
#define PINFORD_LOG_H_

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <string_view>

namespace pinford {

enum class LogLevel { kDebug, kInfo, kWarn, kError };
enum class LogFormat { kText, kJson };
enum class LogPart { kBox, kCallers, kOperators, kPeers, kConfig, kEndpoints };

std::optional<LogLevel> LogLevelNamed(std::string_view name);
std::optional<LogFormat> LogFormatNamed(std::string_view name);

// Named values of an event, in the order in which they were added.
class LogFields {
 public:
  LogFields& Add(std::string_view name, std::string_view value);
  LogFields& Add(std::string_view name, const char* value) {
    return Add(name, std::string_view(value));
  }
  LogFields& Add(std::string_view name, bool value);
  LogFields& Add(std::string_view name, double value);
  template <std::integral T>
  LogFields& Add(std::string_view name, T value) {
    return AddNumber(name, std::to_string(value));
  }

  // The members of a JSON object, without its braces.
  const std::string& text() const { return text_; }

 private:
  LogFields& AddNumber(std::string_view name, std::string_view text);
  std::string text_;
};

// Maximum lines between two flushes, which are kLogFlushInterval apart. At 10
// requests per second a box writes about 30 lines per second.
inline constexpr int kMaxLogLines = 60;
// The same limit for warnings.
inline constexpr int kMaxLogWarnings = 60;
inline constexpr std::chrono::milliseconds kLogFlushInterval{100};
inline constexpr size_t kMaxLogBytes = 256 << 10;

// Writes as much as possible without blocking. Call it every kLogFlushInterval.
void FlushLogs();

void SetUpLogs(std::string_view box, LogLevel level, LogFormat format);
void SetLogLevel(LogLevel level);
bool LogEnabled(LogLevel level);
void Log(LogPart part, LogLevel level, std::string_view sentence);
void LogEvent(LogPart part, LogLevel level, std::string_view event,
              const LogFields& fields);

}  // namespace pinford

#endif  // PINFORD_LOG_H_
