// The pinford command line.

#include <docopt/docopt.h>
#include <signal.h>

#include <boost/leaf.hpp>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "pinford/box.h"
#include "pinford/forwarding/forwarding_box.h"
#include "pinford/log_digest.h"
#include "pinford/operator_client.h"
#include "pinford/policy.h"
#include "pinford/settings.h"
#include "platform/platform.h"
#include "util/hash.h"
#include "util/json.h"
#include "util/signal_blocker.h"

namespace leaf = boost::leaf;

namespace pinford {
namespace {

constexpr char kVersion[] = "0.1.0";

constexpr char kUsage[] =
    R"(pinford: a router for pipelines over mixed accelerators.

Usage:
  pinford serve --settings=FILE
  pinford forward --settings=FILE
  pinford check [--settings=FILE] [--policy=FILE]...
  pinford policy submit --operator=ADDRESS --key-file=FILE [--id=ID]
          [--author=NAME] [--expect=GENERATION] FILE...
  pinford policy show --operator=ADDRESS --key-file=FILE
  pinford policy status --operator=ADDRESS --key-file=FILE ID
  pinford timeline --operator=ADDRESS --key-file=FILE [--request=ID] [--json]
  pinford explain [--window=SECONDS] [--first-ms=MS] [--gap-ms=MS]
          [--request=ID] [--json] LOG...
  pinford version
  pinford (-h | --help)

Commands:
  serve          Runs a box. SIGTERM or SIGINT stops it after requests in
                 progress have finished. A second SIGINT stops it immediately.
  forward        Runs a box that forwards requests according to the
                 configuration in the platform's store. SIGHUP reloads the
                 settings.
  check          Checks a settings file, policy files, or both, and prints
                 every finding with its location.
  policy submit  Submits policy files as the new configuration. It is accepted
                 only if the one in force is still the expected generation.
  policy show    Prints the configuration in force.
  policy status  Prints the status of the submission ID.
  timeline       Prints the events of all boxes in one order.
  explain        Reads the JSON logs of any number of boxes and prints, by time
                 window, service and hall, how requests ended and what delayed
                 them; or all events of one request.

Options:
  --settings=FILE      Settings of the box, in YAML.
  --policy=FILE        A policy file, in Lua.
  --operator=ADDRESS   A box's address for operators, such as 127.0.0.1:8100.
  --key-file=FILE      A file that contains the operators' key.
  --id=ID              The submission's id. Use the same id to retry a
                       submission. Random by default.
  --author=NAME        Stored with the configuration [default: ].
  --expect=GENERATION  The generation to replace. Default: the one in force.
  --request=ID         Only the events of one request.
  --window=SECONDS     Length of a window [default: 2].
  --first-ms=MS        A first event after this is late [default: 500].
  --gap-ms=MS          A longer pause between events is late [default: 200].
  --json               Prints JSON instead of text.
  -h --help            Prints this help.

Exit codes: 0 success, 1 findings or failure, 2 wrong usage, 3 refused because
another generation is in force, 4 undecided: check the status later.
)";

enum ExitCode {
  kDone = 0,
  kFailed = 1,
  kUsageError = 2,
  kStale = 3,
  kUndecided = 4,
};

using Arguments = std::map<std::string, docopt::value>;

// Errors of a command, printed by Main.
struct FileError {
  std::string file;
  std::string why;
};
struct ArgumentError {
  std::string text;
};

leaf::result<std::string> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) return leaf::new_error(FileError{file, strerror(errno)});
  std::string text((std::istreambuf_iterator<char>(in)),
                   std::istreambuf_iterator<char>());
  if (in.bad()) return leaf::new_error(FileError{file, "cannot be read"});
  return text;
}

leaf::result<std::vector<PolicyFile>> ReadPolicy(
    const std::vector<std::string>& names) {
  std::vector<PolicyFile> files;
  for (const std::string& name : names) {
    BOOST_LEAF_AUTO(text, ReadFile(name));
    files.push_back({name, text});
  }
  return files;
}

leaf::result<OperatorClient> MakeClient(const Arguments& args) {
  const std::string at = args.at("--operator").asString();
  std::optional<Address> box = Address::Parse(at);
  if (!box) {
    return leaf::new_error(
        ArgumentError{"--operator=" + at + " is not an IP address and port"});
  }
  BOOST_LEAF_AUTO(key, ReadFile(args.at("--key-file").asString()));
  while (!key.empty() && isspace(static_cast<unsigned char>(key.back()))) {
    key.pop_back();
  }
  return OperatorClient(*box, key);
}

// Returns nullopt and prints the findings if the file is invalid.
leaf::result<std::optional<Settings>> ReadSettings(const std::string& file) {
  BOOST_LEAF_AUTO(text, ReadFile(file));
  Findings findings;
  std::optional<Settings> settings = ParseSettings(text, file, &findings);
  if (!settings) std::cerr << findings.ToString();
  return settings;
}

// Keeps the current settings if the file is invalid.
template <typename B>
void ReloadSettings(const std::string& file, B* box) {
  const leaf::result<std::optional<Settings>> settings = ReadSettings(file);
  if (settings && *settings) {
    box->Reload(**settings);
    return;
  }
  Log(LogPart::kBox, LogLevel::kError,
      "The settings in " + file + " cannot be used. Those in force stay.");
}

void ReloadSettings(const std::string&, Box*) {
  Log(LogPart::kBox, LogLevel::kWarn, "Settings are read at the start only.");
}

// Runs a box of type B until it has stopped. SIGHUP is already blocked: it may
// come at any time during the start.
template <typename B>
leaf::result<int> Serve(const Arguments& args, SignalBlocker* signal_blocker) {
  const std::string file = args.at("--settings").asString();
  BOOST_LEAF_AUTO(settings, ReadSettings(file));
  if (!settings) return kFailed;
  SetUpLogs(settings->box, settings->log_level, settings->log_format);
  signal(SIGPIPE, SIG_IGN);
  // Once the box listens, it may have accepted requests, so a stop must be
  // handled from here on.
  signal_blocker->Block({SIGTERM, SIGINT});
  EventLoop loop;
  loop.Every(kLogFlushInterval, FlushLogs);
  B box(*settings, &loop);
  std::string error;
  if (!box.Start(&error)) {
    Log(LogPart::kBox, LogLevel::kError, error + ".");
    return kFailed;
  }
  bool stopping = false;
  const auto stop = [&] {
    if (!std::exchange(stopping, true)) box.BeginStop();
  };
  // Supervisors repeat SIGTERM; that must not cut the answers under way.
  loop.OnSignal(SIGTERM, stop);
  bool interrupted = false;
  loop.OnSignal(SIGINT, [&] {
    if (std::exchange(interrupted, true)) loop.Stop();
    stop();
  });
  loop.OnSignal(SIGHUP, [&] { ReloadSettings(file, &box); });
  signal_blocker->Unblock();
  loop.Run();
  FlushLogs();
  return kDone;
}

leaf::result<int> Check(const Arguments& args) {
  Findings findings;
  if (args.at("--settings")) {
    const std::string file = args.at("--settings").asString();
    BOOST_LEAF_AUTO(text, ReadFile(file));
    ParseSettings(text, file, &findings);
  }
  const std::vector<std::string> names = args.at("--policy").asStringList();
  if (!names.empty()) {
    BOOST_LEAF_AUTO(files, ReadPolicy(names));
    Policy::Load(files, Policy::Options(), &findings);
  }
  std::cerr << findings.ToString();
  if (!findings.empty()) return kFailed;
  std::cout << "No findings.\n";
  return kDone;
}

// Prints why a call to a box failed.
int PrintFailure(const HttpResult& r) {
  if (r.transport != Transport::kOk) {
    std::cerr << "The box did not answer: " << TransportName(r.transport)
              << ".\n";
    return kFailed;
  }
  const Json v = ParseJson(r.body);
  const Json error = v.is_object() ? v.value("error", Json()) : Json();
  std::cerr << JsonField<std::string>(error, "message", r.body) << "\n";
  if (error.contains("findings")) {
    for (const Json& f : error["findings"]) {
      std::cerr << f.get<std::string>() << "\n";
    }
  }
  return kFailed;
}

leaf::result<uint64_t> ExpectedGeneration(const Arguments& args,
                                          const OperatorClient& client) {
  if (args.at("--expect")) {
    const std::string text = args.at("--expect").asString();
    char* end = nullptr;
    const uint64_t v = strtoull(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0') {
      return leaf::new_error(
          ArgumentError{"--expect=" + text + " is not a number"});
    }
    return v;
  }
  const HttpResult r = client.Get("/v1/configuration");
  if (!r.ok()) {
    PrintFailure(r);
    return leaf::new_error(ArgumentError{"the generation in force is unknown"});
  }
  return JsonField<uint64_t>(ParseJson(r.body), "generation", 0);
}

leaf::result<int> SubmitPolicy(const Arguments& args) {
  BOOST_LEAF_AUTO(client, MakeClient(args));
  BOOST_LEAF_AUTO(files, ReadPolicy(args.at("FILE").asStringList()));
  BOOST_LEAF_AUTO(expected, ExpectedGeneration(args, client));
  Random random = SeededRandom();
  const std::string id =
      args.at("--id") ? args.at("--id").asString() : NewId(random);
  const HttpResult r =
      client.Submit(id, args.at("--author").asString(), expected, files);
  if (r.transport == Transport::kNotSent) return PrintFailure(r);
  if (r.transport != Transport::kOk) {
    std::cerr << "No answer. Submission " << id
              << " may have been accepted: check its status, or submit again "
                 "with the same --id and --expect.\n";
    return kUndecided;
  }
  const Json v = ParseJson(r.body);
  const std::string status = JsonField<std::string>(v, "status", "");
  const uint64_t generation = JsonField<uint64_t>(v, "generation", 0);
  if (status.empty()) return PrintFailure(r);
  std::cout << "submission " << id << "\nstatus " << status << "\ngeneration "
            << generation << "\n";
  if (status == "accepted") return kDone;
  if (status == "stale") return kStale;
  return status == "undecided" ? kUndecided : kFailed;
}

leaf::result<int> ShowPolicy(const Arguments& args) {
  BOOST_LEAF_AUTO(client, MakeClient(args));
  const HttpResult r = client.Get("/v1/configuration");
  if (!r.ok()) return PrintFailure(r);
  const std::optional<Configuration> c = ParseConfiguration(r.body);
  if (!c) {
    std::cout << "No configuration has been submitted yet.\n";
    return kDone;
  }
  std::cout << "generation " << c->generation << "\nsubmission "
            << c->submission << "\nauthor " << c->author << "\n";
  for (const PolicyFile& f : c->policy) {
    std::cout << "--- " << f.name << "\n" << f.source;
  }
  return kDone;
}

leaf::result<int> ShowStatus(const Arguments& args) {
  BOOST_LEAF_AUTO(client, MakeClient(args));
  const HttpResult r =
      client.Get("/v1/submissions?id=" + args.at("ID").asString());
  if (r.transport != Transport::kOk || (r.status != 200 && r.status != 503)) {
    return PrintFailure(r);
  }
  const Json v = ParseJson(r.body);
  const std::string status = JsonField<std::string>(v, "status", "");
  std::cout << "status " << status << "\ngeneration "
            << JsonField<uint64_t>(v, "generation", 0) << "\n";
  if (status == "accepted") return kDone;
  return status == "undecided" ? kUndecided : kFailed;
}

leaf::result<int> ShowTimeline(const Arguments& args) {
  BOOST_LEAF_AUTO(client, MakeClient(args));
  std::string target = "/v1/timeline";
  if (args.at("--request")) {
    target += "?request=" + args.at("--request").asString();
  }
  const HttpResult r = client.Get(target);
  if (!r.ok()) return PrintFailure(r);
  if (args.at("--json").asBool()) {
    std::cout << r.body << "\n";
    return kDone;
  }
  const Json v = ParseJson(r.body);
  for (const Json& e : v.value("events", Json::array())) {
    std::cout << JsonField<std::string>(e, "line", "") << "\n";
  }
  for (const Json& box : v.value("silent", Json::array())) {
    std::cerr << "Box " << box.get<std::string>() << " did not answer.\n";
  }
  return kDone;
}

// Parses the value of `option`, which must be a number above 0.
leaf::result<int64_t> PositiveNumber(const Arguments& args,
                                     const std::string& option) {
  const std::string text = args.at(option).asString();
  int64_t v = 0;
  const char* end = text.data() + text.size();
  const auto [p, ec] = std::from_chars(text.data(), end, v);
  if (ec != std::errc() || p != end || v <= 0) {
    return leaf::new_error(
        ArgumentError{option + "=" + text + " is not a number above 0"});
  }
  return v;
}

leaf::result<int> Explain(const Arguments& args) {
  LogDigestOptions options;
  BOOST_LEAF_AUTO(window_s, PositiveNumber(args, "--window"));
  options.window_ms = window_s * 1000;
  BOOST_LEAF_ASSIGN(options.first_ms, PositiveNumber(args, "--first-ms"));
  BOOST_LEAF_ASSIGN(options.gap_ms, PositiveNumber(args, "--gap-ms"));
  LogDigest digest(options);
  for (const std::string& file : args.at("LOG").asStringList()) {
    BOOST_LEAF_AUTO(text, ReadFile(file));
    digest.Read(text, file);
  }
  if (args.at("--request")) {
    std::cout << digest.RequestTrace(args.at("--request").asString());
  } else if (args.at("--json").asBool()) {
    std::cout << DumpJson(digest.Windows()) << "\n";
  } else {
    std::cout << digest.Table();
  }
  // Invalid lines are skipped and do not change the exit code.
  std::cerr << digest.findings().ToString();
  if (digest.dropped_lines() > 0) {
    std::cerr << digest.dropped_lines()
              << " lines were dropped by the boxes.\n";
  }
  return kDone;
}

leaf::result<int> Run(const Arguments& args, SignalBlocker* signal_blocker) {
  if (args.at("serve").asBool()) return Serve<Box>(args, signal_blocker);
  if (args.at("forward").asBool()) {
    return Serve<ForwardingBox<platform::MetadataPlatform>>(args,
                                                            signal_blocker);
  }
  signal_blocker->Unblock();
  if (args.at("check").asBool()) return Check(args);
  if (args.at("explain").asBool()) return Explain(args);
  if (args.at("submit").asBool()) return SubmitPolicy(args);
  if (args.at("show").asBool()) return ShowPolicy(args);
  if (args.at("status").asBool()) return ShowStatus(args);
  if (args.at("timeline").asBool()) return ShowTimeline(args);
  std::cout << "pinford " << kVersion << "\n";
  return kDone;
}

int Main(int argc, char** argv) {
  SignalBlocker signal_blocker({SIGHUP});
  Arguments args;
  try {
    const std::vector<std::string> words(argv + 1, argv + argc);
    args = docopt::docopt_parse(kUsage, words, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return kDone;
  } catch (const std::exception& e) {
    std::cerr << (e.what()[0] != '\0' ? e.what() : "wrong usage")
              << "\nTry: pinford --help\n";
    return kUsageError;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> { return Run(args, &signal_blocker); },
      [](const FileError& e) {
        std::cerr << e.file << ": " << e.why << "\n";
        return static_cast<int>(kFailed);
      },
      [](const ArgumentError& e) {
        std::cerr << e.text << "\n";
        return static_cast<int>(kUsageError);
      },
      [] {
        std::cerr << "failed\n";
        return static_cast<int>(kFailed);
      });
}

}  // namespace
}  // namespace pinford

int main(int argc, char** argv) { return pinford::Main(argc, argv); }
