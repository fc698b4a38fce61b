// Method: everything that may raise a Lua error, building the arguments
// included, runs inside one protected call. Such an error leaves by longjmp,
// so the C functions here hold no C++ object with a destructor across a Lua
// call that may raise: they work on a Job that the caller owns.

#include "pinford/policy.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <lua.hpp>
#include <optional>

#include "util/enum_names.h"

namespace pinford {

static constexpr EnumName<Tier> kTierNames[] = {
    {Tier::kCritical, "critical"},
    {Tier::kHigh, "high"},
    {Tier::kStandard, "standard"},
    {Tier::kBackground, "background"},
};

std::string_view TierName(Tier t) { return NameIn(kTierNames, t); }

// Counts what a program holds and refuses what goes over the limit.
struct Policy::Memory {
  size_t limit;
  size_t used = 0;

  static void* Allocate(void* ud, void* block, size_t old_size,
                        size_t new_size) {
    auto* memory = static_cast<Memory*>(ud);
    const size_t held = block != nullptr ? old_size : 0;
    if (new_size == 0) {
      memory->used -= held;
      free(block);
      return nullptr;
    }
    if (memory->used - held + new_size > memory->limit) return nullptr;
    void* p = realloc(block, new_size);
    if (p != nullptr) memory->used += new_size - held;
    return p;
  }
};

// One call of a policy function. `push` puts the arguments on the stack and
// returns their number; `take` reads the result, which is on top.
struct Policy::Job {
  const char* function = nullptr;
  const void* in = nullptr;
  void* out = nullptr;
  int (*push)(lua_State* lua, const void* in) = nullptr;
  void (*take)(lua_State* lua, void* out) = nullptr;
  bool defined = false;  // set if the program has the function
};

static void StopAtLimit(lua_State* lua, lua_Debug*) {
  luaL_error(lua, "the call runs for too many instructions");
}

static int RunJob(lua_State* lua) {
  auto* job = static_cast<Policy::Job*>(lua_touserdata(lua, 1));
  lua_settop(lua, 0);
  lua_getglobal(lua, job->function);
  if (lua_isnil(lua, -1)) return 0;
  job->defined = true;
  if (!lua_isfunction(lua, -1)) {
    return luaL_error(lua, "%s is not a function", job->function);
  }
  const int arguments = job->push(lua, job->in);
  lua_call(lua, arguments, 1);
  job->take(lua, job->out);
  return 0;
}

Policy::Policy(const Options& options)
    : options_(options), memory_(std::make_unique<Memory>()) {
  memory_->limit = options.max_bytes;
}

Policy::~Policy() {
  if (lua_ != nullptr) lua_close(lua_);
}

// Opens the parts of the standard library that cannot reach outside.
static int OpenLibraries(lua_State* lua) {
  static const luaL_Reg kLibraries[] = {
      {LUA_GNAME, luaopen_base},
      {LUA_TABLIBNAME, luaopen_table},
      {LUA_STRLIBNAME, luaopen_string},
      {LUA_MATHLIBNAME, luaopen_math},
  };
  for (const luaL_Reg& lib : kLibraries) {
    luaL_requiref(lua, lib.name, lib.func, 1);
    lua_pop(lua, 1);
  }
  // pcall and xpcall could swallow the instruction limit's error; the rest
  // load code, write, or control the collector.
  static const char* const kRemoved[] = {"dofile", "loadfile",       "load",
                                         "print",  "collectgarbage", "pcall",
                                         "xpcall", "warn",           "require"};
  for (const char* name : kRemoved) {
    lua_pushnil(lua);
    lua_setglobal(lua, name);
  }
  return 0;
}

bool Policy::Open() {
  lua_ = lua_newstate(Memory::Allocate, memory_.get());
  if (lua_ == nullptr) return false;
  lua_pushcfunction(lua_, OpenLibraries);
  return lua_pcall(lua_, 0, 0, 0) == LUA_OK;
}

static std::string TopText(lua_State* lua) {
  const char* text = lua_tostring(lua, -1);
  return text != nullptr ? text : "an error without a text";
}

bool Policy::Run(Job* job) {
  lua_settop(lua_, 0);
  lua_sethook(lua_, StopAtLimit, LUA_MASKCOUNT, options_.max_instructions);
  lua_pushcfunction(lua_, RunJob);
  lua_pushlightuserdata(lua_, job);
  const bool ok = lua_pcall(lua_, 1, 0, 0) == LUA_OK;
  if (!ok) {
    errors_++;
    last_error_ = TopText(lua_);
  }
  lua_settop(lua_, 0);
  return ok;
}

// --- tables in and out -----------------------------------------------------

static void SetText(lua_State* lua, const char* key, const std::string& v) {
  lua_pushlstring(lua, v.data(), v.size());
  lua_setfield(lua, -2, key);
}

static void SetNumber(lua_State* lua, const char* key, double v) {
  lua_pushnumber(lua, v);
  lua_setfield(lua, -2, key);
}

// Reads a field of the result; the wrong type is an error that names it.
static const char* TextField(lua_State* lua, const char* key) {
  const int type = lua_getfield(lua, -1, key);
  if (type == LUA_TNIL) return nullptr;
  if (type != LUA_TSTRING) luaL_error(lua, "%s must be a string", key);
  return lua_tostring(lua, -1);  // stays on the stack, so it stays valid
}

static bool NumberField(lua_State* lua, const char* key, double low,
                        double high, double* out) {
  const int type = lua_getfield(lua, -1, key);
  if (type == LUA_TNIL) {
    lua_pop(lua, 1);
    return false;
  }
  const double v = lua_tonumber(lua, -1);
  if (type != LUA_TNUMBER || !(v >= low && v <= high)) {
    luaL_error(lua, "%s must be a number from %f to %f", key, low, high);
  }
  lua_pop(lua, 1);
  *out = v;
  return true;
}

static int PushRequest(lua_State* lua, const void* in) {
  const auto* facts = static_cast<const RequestFacts*>(in);
  lua_createtable(lua, 0, 6);
  SetText(lua, "customer", facts->customer);
  SetText(lua, "model", facts->model);
  SetText(lua, "kind", facts->kind);
  SetNumber(lua, "prompt_bytes", facts->prompt_bytes);
  SetNumber(lua, "max_tokens", facts->max_tokens);
  SetNumber(lua, "hour", facts->hour);
  SetNumber(lua, "priority", facts->priority);
  return 1;
}

static void TakeTextField(lua_State* lua, const char* key, std::string* out) {
  const char* text = TextField(lua, key);
  if (text != nullptr) *out = text;
  lua_pop(lua, 1);
}

static void TakeTier(lua_State* lua, Tier* out) {
  const char* name = TextField(lua, "tier");
  if (name != nullptr) {
    const std::optional<Tier> tier = ValueIn(kTierNames, name);
    if (!tier) {
      luaL_error(lua,
                 "tier '%s' is none of critical, high, standard, background",
                 name);
    }
    *out = *tier;
  }
  lua_pop(lua, 1);
}

static void TakeClass(lua_State* lua, void* out) {
  auto* c = static_cast<RequestClass*>(out);
  if (!lua_istable(lua, -1)) luaL_error(lua, "classify must return a table");
  constexpr double kMaxWeight = 1e6;
  constexpr double kMaxDeadlineSeconds = 24 * 3600;
  TakeTier(lua, &c->tier);
  NumberField(lua, "weight", 1e-6, kMaxWeight, &c->weight);
  TakeTextField(lua, "group", &c->group);
  TakeTextField(lua, "model", &c->model);
  TakeTextField(lua, "version", &c->version);
  double deadline = 0;
  if (NumberField(lua, "deadline", 0, kMaxDeadlineSeconds, &deadline)) {
    c->deadline = FromSeconds(deadline);
  }
  lua_getfield(lua, -1, "refuse");
  c->refuse = lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
}

static int PushCall(lua_State* lua, const void* in) {
  const auto* facts = static_cast<const CallFacts*>(in);
  lua_createtable(lua, 0, 4);
  SetText(lua, "customer", facts->customer);
  SetText(lua, "service", facts->service);
  SetText(lua, "method", facts->method);
  SetText(lua, "path", facts->path);
  return 1;
}

static void TakeBool(lua_State* lua, void* out) {
  if (!lua_isboolean(lua, -1)) {
    luaL_error(lua, "repeatable must return true or false");
  }
  *static_cast<bool*>(out) = lua_toboolean(lua, -1) != 0;
}

struct PoolFacts {
  const std::string* pool;
  const std::map<std::string, HallDemand>* halls;
  double hour;
};

static int PushPool(lua_State* lua, const void* in) {
  const auto* facts = static_cast<const PoolFacts*>(in);
  lua_pushlstring(lua, facts->pool->data(), facts->pool->size());
  lua_createtable(lua, 0, static_cast<int>(facts->halls->size()));
  for (const auto& [hall, d] : *facts->halls) {
    lua_createtable(lua, 0, 2);
    SetNumber(lua, "demand", d.demand);
    SetNumber(lua, "capacity", d.capacity);
    lua_setfield(lua, -2, hall.c_str());
  }
  lua_pushnumber(lua, facts->hour);
  return 3;
}

// Reads a table of hall -> number from 0 to `most`.
template <typename Number>
static void TakeHalls(lua_State* lua, void* out, const char* function,
                      double most) {
  auto* halls = static_cast<std::map<std::string, Number>*>(out);
  if (!lua_istable(lua, -1))
    luaL_error(lua, "%s must return a table", function);
  lua_pushnil(lua);
  while (lua_next(lua, -2) != 0) {
    const bool good =
        lua_type(lua, -2) == LUA_TSTRING && lua_type(lua, -1) == LUA_TNUMBER;
    const double v = good ? lua_tonumber(lua, -1) : -1;
    if (!(v >= 0 && v <= most)) {
      luaL_error(lua, "%s must return halls with numbers from 0 to %f",
                 function, most);
    }
    (*halls)[lua_tostring(lua, -2)] = static_cast<Number>(v);
    lua_pop(lua, 1);
  }
}

static void TakeShare(lua_State* lua, void* out) {
  constexpr double kMaxWeight = 1e6;
  TakeHalls<double>(lua, out, "share", kMaxWeight);
}

static void TakePlacement(lua_State* lua, void* out) {
  constexpr double kMaxReplicas = 10000;
  TakeHalls<int>(lua, out, "placement", kMaxReplicas);
}

// --- the functions ---------------------------------------------------------

RequestClass Policy::Classify(const RequestFacts& facts) {
  RequestClass out;
  Job job{"classify", &facts, &out, PushRequest, TakeClass};
  return Run(&job) ? out : RequestClass();
}

bool Policy::IsIdempotent(const CallFacts& facts) {
  const bool fallback = facts.method == "GET";
  bool out = fallback;
  Job job{"repeatable", &facts, &out, PushCall, TakeBool};
  // A failing rule must not lead to a second run: the safe answer is no.
  if (!Run(&job)) return false;
  return job.defined ? out : fallback;
}

std::map<std::string, double> Policy::Share(
    const std::string& pool, const std::map<std::string, HallDemand>& halls,
    double hour) {
  PoolFacts facts{&pool, &halls, hour};
  std::map<std::string, double> out;
  Job job{"share", &facts, &out, PushPool, TakeShare};
  if (!Run(&job)) out.clear();
  return out;
}

std::map<std::string, int> Policy::Placement(
    const std::string& pool, const std::map<std::string, HallDemand>& halls,
    double hour) {
  PoolFacts facts{&pool, &halls, hour};
  std::map<std::string, int> out;
  Job job{"placement", &facts, &out, PushPool, TakePlacement};
  if (!Run(&job)) out.clear();
  return out;
}

// --- loading ---------------------------------------------------------------

// Turns "FILE:LINE: text" into a finding; other texts get `file` and no line.
static void AddLuaError(const std::string& text, const std::string& file,
                        Findings* findings) {
  const std::string prefix = file + ":";
  if (text.compare(0, prefix.size(), prefix) != 0) {
    findings->Add(file, 0, text);
    return;
  }
  char* end = nullptr;
  const long line = strtol(text.c_str() + prefix.size(), &end, 10);
  const char* rest = *end == ':' ? end + 1 : end;
  while (*rest == ' ') rest++;
  findings->Add(file, static_cast<int>(line), rest);
}

void Policy::LoadFiles(const std::vector<PolicyFile>& files,
                       Findings* findings) {
  for (const PolicyFile& file : files) {
    lua_settop(lua_, 0);
    const std::string chunk = "@" + file.name;
    lua_sethook(lua_, StopAtLimit, LUA_MASKCOUNT, options_.max_instructions);
    // "t": source text only. Compiled chunks can break the interpreter.
    const bool ok =
        luaL_loadbufferx(lua_, file.source.data(), file.source.size(),
                         chunk.c_str(), "t") == LUA_OK &&
        lua_pcall(lua_, 0, 0, 0) == LUA_OK;
    if (!ok) AddLuaError(TopText(lua_), file.name, findings);
  }
  lua_settop(lua_, 0);
}

void Policy::TrySamples(const std::string& file, Findings* findings) {
  // Inputs at the edges: empty, ordinary and large, through a whole day.
  std::vector<std::function<void()>> samples;
  for (double hour : {0.0, 6.5, 12.0, 18.75, 23.99}) {
    for (int size : {0, 200, 100000}) {
      samples.emplace_back([this, hour, size] {
        RequestFacts facts;
        facts.customer = size == 0 ? "" : "sample";
        facts.model = "sample";
        facts.prompt_bytes = facts.max_tokens = size;
        facts.hour = hour;
        Classify(facts);
      });
    }
    samples.emplace_back([this, hour] {
      Share("sample", {{"hall-1", {10, 20}}, {"hall-2", {0, 0}}}, hour);
    });
    samples.emplace_back([this, hour] {
      Placement("sample", {{"hall-1", {10, 20}}, {"hall-2", {0, 0}}}, hour);
    });
  }
  samples.emplace_back([this] { Share("sample", {}, 0); });
  samples.emplace_back([this] { Placement("sample", {}, 0); });
  for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
    samples.emplace_back([this, method] {
      IsIdempotent({"sample", "sample", method, "/sample/path"});
    });
  }
  std::vector<std::string> seen;
  for (const auto& sample : samples) {
    const int64_t before = errors_;
    sample();
    if (errors_ == before) continue;
    if (std::find(seen.begin(), seen.end(), last_error_) != seen.end())
      continue;
    seen.push_back(last_error_);
    AddLuaError(last_error_, file, findings);
  }
  errors_ = 0;
  last_error_.clear();
}

std::unique_ptr<Policy> Policy::Load(const std::vector<PolicyFile>& files,
                                     const Options& options,
                                     Findings* findings) {
  std::unique_ptr<Policy> policy(new Policy(options));
  if (!policy->Open()) {
    findings->Add("policy", 0, "no memory for the policy's interpreter");
    return nullptr;
  }
  Findings own;
  policy->LoadFiles(files, &own);
  // Samples of a program that did not load would repeat its errors.
  if (own.empty()) {
    policy->TrySamples(files.empty() ? "policy" : files.back().name, &own);
  }
  for (const Finding& f : own.list()) findings->Add(f.file, f.line, f.text);
  return own.empty() ? std::move(policy) : nullptr;
}

}  // namespace pinford
