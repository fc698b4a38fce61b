// Everything that may raise a Lua error, including building the arguments, runs
// inside one protected call. Lua raises errors with longjmp, so the C functions
// here must not hold C++ objects with destructors across Lua calls that may
// raise. They work on an Invocation that the caller owns.

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

// Tracks the memory used by a program and fails allocations over the limit.
struct Policy::LimitedAllocator {
  size_t limit;
  size_t used = 0;

  static void* Allocate(void* ud, void* block, size_t old_size,
                        size_t new_size) {
    auto* allocator = static_cast<LimitedAllocator*>(ud);
    const size_t previous = block != nullptr ? old_size : 0;
    if (new_size == 0) {
      allocator->used -= previous;
      free(block);
      return nullptr;
    }
    if (allocator->used - previous + new_size > allocator->limit)
      return nullptr;
    void* p = realloc(block, new_size);
    if (p != nullptr) allocator->used += new_size - previous;
    return p;
  }
};

// One call of a policy function. `push_arguments` pushes the arguments onto the
// stack and returns their number; `read_result` reads the result from its top.
struct Policy::Invocation {
  const char* function = nullptr;
  const void* in = nullptr;
  void* out = nullptr;
  int (*push_arguments)(lua_State* lua, const void* in) = nullptr;
  void (*read_result)(lua_State* lua, void* out) = nullptr;
  bool defined = false;  // whether the program has the function
};

static void StopAtLimit(lua_State* lua, lua_Debug*) {
  luaL_error(lua, "the call runs for too many instructions");
}

static int RunInvocation(lua_State* lua) {
  auto* invocation = static_cast<Policy::Invocation*>(lua_touserdata(lua, 1));
  lua_settop(lua, 0);
  lua_getglobal(lua, invocation->function);
  if (lua_isnil(lua, -1)) return 0;
  invocation->defined = true;
  if (!lua_isfunction(lua, -1)) {
    return luaL_error(lua, "%s is not a function", invocation->function);
  }
  const int arguments = invocation->push_arguments(lua, invocation->in);
  lua_call(lua, arguments, 1);
  invocation->read_result(lua, invocation->out);
  return 0;
}

Policy::Policy(const Options& options)
    : options_(options), allocator_(std::make_unique<LimitedAllocator>()) {
  allocator_->limit = options.max_bytes;
}

Policy::~Policy() {
  if (lua_ != nullptr) lua_close(lua_);
}

// Opens the parts of the standard library that have no access to the system.
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
  // pcall and xpcall could catch the error of the instruction limit; the others
  // load code, write output or control the garbage collector.
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
  lua_ = lua_newstate(LimitedAllocator::Allocate, allocator_.get());
  if (lua_ == nullptr) return false;
  lua_pushcfunction(lua_, OpenLibraries);
  return lua_pcall(lua_, 0, 0, 0) == LUA_OK;
}

static std::string ErrorText(lua_State* lua) {
  const char* text = lua_tostring(lua, -1);
  return text != nullptr ? text : "an error without a text";
}

bool Policy::Run(Invocation* invocation) {
  lua_settop(lua_, 0);
  lua_sethook(lua_, StopAtLimit, LUA_MASKCOUNT, options_.max_instructions);
  lua_pushcfunction(lua_, RunInvocation);
  lua_pushlightuserdata(lua_, invocation);
  const bool ok = lua_pcall(lua_, 1, 0, 0) == LUA_OK;
  if (!ok) {
    errors_++;
    last_error_ = ErrorText(lua_);
  }
  lua_settop(lua_, 0);
  return ok;
}

// --- conversion to and from tables -----------------------------------------

static void SetText(lua_State* lua, const char* key, const std::string& v) {
  lua_pushlstring(lua, v.data(), v.size());
  lua_setfield(lua, -2, key);
}

static void SetNumber(lua_State* lua, const char* key, double v) {
  lua_pushnumber(lua, v);
  lua_setfield(lua, -2, key);
}

// Reads a field of the result. A wrong type raises an error with the field's
// name.
static const char* TextField(lua_State* lua, const char* key) {
  const int type = lua_getfield(lua, -1, key);
  if (type == LUA_TNIL) return nullptr;
  if (type != LUA_TSTRING) luaL_error(lua, "%s must be a string", key);
  return lua_tostring(lua, -1);  // valid as long as it is on the stack
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

static void ReadTextField(lua_State* lua, const char* key, std::string* out) {
  const char* text = TextField(lua, key);
  if (text != nullptr) *out = text;
  lua_pop(lua, 1);
}

static void ReadTier(lua_State* lua, Tier* out) {
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

static void ReadClass(lua_State* lua, void* out) {
  auto* c = static_cast<RequestClass*>(out);
  if (!lua_istable(lua, -1)) luaL_error(lua, "classify must return a table");
  constexpr double kMaxWeight = 1e6;
  constexpr double kMaxDeadlineSeconds = 24 * 3600;
  ReadTier(lua, &c->tier);
  NumberField(lua, "weight", 1e-6, kMaxWeight, &c->weight);
  ReadTextField(lua, "group", &c->group);
  ReadTextField(lua, "model", &c->model);
  ReadTextField(lua, "version", &c->version);
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

static void ReadBool(lua_State* lua, void* out) {
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

// Reads a table of hall -> number from 0 to `max_value`.
template <typename Number>
static void ReadHalls(lua_State* lua, void* out, const char* function,
                      double max_value) {
  auto* halls = static_cast<std::map<std::string, Number>*>(out);
  if (!lua_istable(lua, -1))
    luaL_error(lua, "%s must return a table", function);
  lua_pushnil(lua);
  while (lua_next(lua, -2) != 0) {
    const bool valid =
        lua_type(lua, -2) == LUA_TSTRING && lua_type(lua, -1) == LUA_TNUMBER;
    const double v = valid ? lua_tonumber(lua, -1) : -1;
    if (!(v >= 0 && v <= max_value)) {
      luaL_error(lua, "%s must return halls with numbers from 0 to %f",
                 function, max_value);
    }
    (*halls)[lua_tostring(lua, -2)] = static_cast<Number>(v);
    lua_pop(lua, 1);
  }
}

static void ReadShare(lua_State* lua, void* out) {
  constexpr double kMaxWeight = 1e6;
  ReadHalls<double>(lua, out, "share", kMaxWeight);
}

static void ReadPlacement(lua_State* lua, void* out) {
  constexpr double kMaxReplicas = 10000;
  ReadHalls<int>(lua, out, "placement", kMaxReplicas);
}

// --- policy functions ------------------------------------------------------

RequestClass Policy::Classify(const RequestFacts& facts) {
  RequestClass out;
  Invocation invocation{"classify", &facts, &out, PushRequest, ReadClass};
  return Run(&invocation) ? out : RequestClass();
}

bool Policy::IsIdempotent(const CallFacts& facts) {
  const bool fallback = facts.method == "GET";
  bool out = fallback;
  Invocation invocation{"repeatable", &facts, &out, PushCall, ReadBool};
  // If the policy fails, the call must not be run twice: default to false.
  if (!Run(&invocation)) return false;
  return invocation.defined ? out : fallback;
}

std::map<std::string, double> Policy::Share(
    const std::string& pool, const std::map<std::string, HallDemand>& halls,
    double hour) {
  PoolFacts facts{&pool, &halls, hour};
  std::map<std::string, double> out;
  Invocation invocation{"share", &facts, &out, PushPool, ReadShare};
  if (!Run(&invocation)) out.clear();
  return out;
}

std::map<std::string, int> Policy::Placement(
    const std::string& pool, const std::map<std::string, HallDemand>& halls,
    double hour) {
  PoolFacts facts{&pool, &halls, hour};
  std::map<std::string, int> out;
  Invocation invocation{"placement", &facts, &out, PushPool, ReadPlacement};
  if (!Run(&invocation)) out.clear();
  return out;
}

// --- loading ---------------------------------------------------------------

// Converts "FILE:LINE: text" to a finding. Other texts get `file` and no line.
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
    // "t" only accepts source text. Malicious bytecode can crash the
    // interpreter.
    const bool ok =
        luaL_loadbufferx(lua_, file.source.data(), file.source.size(),
                         chunk.c_str(), "t") == LUA_OK &&
        lua_pcall(lua_, 0, 0, 0) == LUA_OK;
    if (!ok) AddLuaError(ErrorText(lua_), file.name, findings);
  }
  lua_settop(lua_, 0);
}

void Policy::TrySamples(const std::string& file, Findings* findings) {
  // Empty, ordinary and large inputs, over a whole day.
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
  // If loading failed, the samples would only repeat its errors.
  if (own.empty()) {
    policy->TrySamples(files.empty() ? "policy" : files.back().name, &own);
  }
  for (const Finding& f : own.list()) findings->Add(f.file, f.line, f.text);
  return own.empty() ? std::move(policy) : nullptr;
}

}  // namespace pinford
