#include "pinford/log.h"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<LogLevel> kLevelNames[] = {
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarn, "warn"},
    {LogLevel::kError, "error"},
};

static constexpr EnumName<LogFormat> kFormatNames[] = {
    {LogFormat::kText, "text"},
    {LogFormat::kJson, "json"},
};

static constexpr EnumName<LogPart> kPartNames[] = {
    {LogPart::kBox, "box"},
    {LogPart::kCallers, "callers"},
    {LogPart::kOperators, "operators"},
    {LogPart::kPeers, "peers"},
    {LogPart::kConfig, "config"},
    {LogPart::kEndpoints, "endpoints"},
};

static LogFormat log_format = LogFormat::kText;

// JSON text of a string; bytes that are not UTF-8 are replaced.
static std::string Quoted(std::string_view text) {
  return nlohmann::json(std::string(text))
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

namespace {

// Holds lines until the other side takes them, up to a bound.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  // Writes only what does not block: a pipe that polls as writable takes
  // PIPE_BUF bytes at once.
  void Write() {
    lines_ = warnings_ = 0;
    NoteLeftOut();
    constexpr size_t kAtOnce = 4096;
    size_t done = 0;
    while (done < buffer_.size()) {
      pollfd out{STDOUT_FILENO, POLLOUT, 0};
      if (poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) break;
      const size_t n = std::min(kAtOnce, buffer_.size() - done);
      const ssize_t written = write(STDOUT_FILENO, buffer_.data() + done, n);
      if (written <= 0) break;
      done += static_cast<size_t>(written);
    }
    buffer_.erase(0, done);
  }

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    if (!CountLine(msg.level)) {
      left_out_++;
      return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    if (buffer_.size() + line.size() > kMostLogBytes) {
      left_out_++;
      return;
    }
    buffer_.append(line.data(), line.size());
  }

  void flush_() override { Write(); }

 private:
  // Counts a line if one more of its level may be written before the flush.
  bool CountLine(spdlog::level::level_enum level) {
    if (level >= spdlog::level::err) return true;
    const bool warning = level == spdlog::level::warn;
    int& lines = warning ? warnings_ : lines_;
    if (lines >= (warning ? kMostLogWarnings : kMostLogLines)) return false;
    lines++;
    return true;
  }

  void NoteLeftOut() {
    if (left_out_ == 0) return;
    const int64_t n = std::exchange(left_out_, 0);
    LogEvent(LogPart::kBox, LogLevel::kWarn, "log_lines_left_out",
             LogFields().Add("lines", n));
  }

  std::string buffer_;
  int lines_ = 0;  // below warnings, since the last flush
  int warnings_ = 0;
  int64_t left_out_ = 0;
};

}  // namespace

LogFields& LogFields::AddNumber(std::string_view name, std::string_view text) {
  if (!text_.empty()) text_ += ',';
  text_ += '"';
  text_ += name;
  text_ += "\":";
  text_ += text;
  return *this;
}

LogFields& LogFields::Add(std::string_view name, std::string_view value) {
  return AddNumber(name, Quoted(value));
}

LogFields& LogFields::Add(std::string_view name, bool value) {
  return AddNumber(name, value ? "true" : "false");
}

LogFields& LogFields::Add(std::string_view name, double value) {
  return AddNumber(name, fmt::format("{:.3f}", value));
}

void FlushLogs() { spdlog::default_logger_raw()->flush(); }

static spdlog::level::level_enum LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarn:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

std::optional<LogLevel> LogLevelNamed(std::string_view name) {
  return ValueIn(kLevelNames, name);
}

std::optional<LogFormat> LogFormatNamed(std::string_view name) {
  return ValueIn(kFormatNames, name);
}

void SetUpLogs(std::string_view box, LogLevel level, LogFormat format) {
  log_format = format;
  auto logger = std::make_shared<spdlog::logger>(
      std::string(box), std::make_shared<BoundedSink>());
  logger->set_level(LevelOf(level));
  // What may be the last line is written at once.
  logger->flush_on(spdlog::level::err);
  if (format == LogFormat::kJson) {
    logger->set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","box":"%n","level":"%l",%v})");
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %n %L %v");
  }
  spdlog::set_default_logger(logger);
}

void SetLogLevel(LogLevel level) {
  spdlog::default_logger_raw()->set_level(LevelOf(level));
}

bool LogEnabled(LogLevel level) {
  return spdlog::default_logger_raw()->should_log(LevelOf(level));
}

void Log(LogPart part, LogLevel level, std::string_view sentence) {
  if (!LogEnabled(level)) return;
  std::string_view prefix = NameIn(kPartNames, part);
  if (log_format == LogFormat::kJson) {
    spdlog::log(LevelOf(level), R"("part":"{}","text":{})", prefix,
                Quoted(sentence));
  } else {
    spdlog::log(LevelOf(level), "{}: {}", prefix, sentence);
  }
}

void LogEvent(LogPart part, LogLevel level, std::string_view event,
              const LogFields& fields) {
  if (!LogEnabled(level)) return;
  const std::string_view prefix = NameIn(kPartNames, part);
  const char* comma = fields.text().empty() ? "" : ",";
  if (log_format == LogFormat::kJson) {
    spdlog::log(LevelOf(level), R"("part":"{}","event":"{}"{}{})", prefix,
                event, comma, fields.text());
  } else {
    spdlog::log(LevelOf(level), "{}: {} {{{}}}", prefix, event, fields.text());
  }
}

}  // namespace pinford
