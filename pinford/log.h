// Logs: short sentences, each with the fixed prefix of its part, and events
// with named fields for what one wants to search by.
//
//   Log(LogPart::kPeers, LogLevel::kInfo, "Box " + name + " joined.");
//   LogEvent(LogPart::kCallers, LogLevel::kInfo, "request_ended",
//            LogFields().Add("id", id).Add("status", 200));
//
// Lines go to standard output, as text or as one JSON object a line. They
// never block: a line is put into a buffer of bounded size, which FlushLogs
// writes as far as the other side takes it. More lines than kMaxLogLines
// between two flushes, or more than fit, are left out, and a line tells how
// many. Warnings have a bound of their own, so that a flood of refusals does
// not push out why an answer was cut.

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

// Named values of one event, in the order in which they were added.
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

  // As members of a JSON object, without its braces.
  const std::string& text() const { return text_; }

 private:
  LogFields& AddNumber(std::string_view name, std::string_view text);
  std::string text_;
};

// Lines between two flushes; a flush comes each kLogFlushInterval. At 10
// requests a second a box writes about 30 lines a second.
inline constexpr int kMaxLogLines = 60;
// The same for warnings.
inline constexpr int kMaxLogWarnings = 60;
inline constexpr std::chrono::milliseconds kLogFlushInterval{100};
inline constexpr size_t kMaxLogBytes = 256 << 10;

// Writes what the other side takes now. Call it every kLogFlushInterval.
void FlushLogs();

void SetUpLogs(std::string_view box, LogLevel level, LogFormat format);
void SetLogLevel(LogLevel level);
bool LogEnabled(LogLevel level);
void Log(LogPart part, LogLevel level, std::string_view sentence);
void LogEvent(LogPart part, LogLevel level, std::string_view event,
              const LogFields& fields);

}  // namespace pinford

#endif  // PINFORD_LOG_H_
