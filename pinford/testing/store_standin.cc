#include "pinford/testing/store_standin.h"

#include "util/json.h"

namespace pinford {

static HttpServer::Options StoreOptions() {
  HttpServer::Options options;
  options.max_body_bytes = 2 << 20;  // a 1 MB value with JSON escapes
  return options;
}

StoreStandin::StoreStandin(EventLoop* loop)
    : loop_(loop), server_(loop, StoreOptions(), [this](ExchangePtr e) {
        OnRequest(std::move(e));
      }) {}

void StoreStandin::OnRequest(ExchangePtr exchange) {
  if (exchange->path() == "/faults") {
    HandleFaults(exchange);
    return;
  }
  if (down_) {
    exchange->Abort();
    return;
  }
  if (delay_ > Duration(0)) {
    loop_->After(delay_, [this, exchange] { Serve(exchange); });
  } else {
    Serve(exchange);
  }
}

void StoreStandin::Serve(const ExchangePtr& exchange) {
  const std::string& path = exchange->path();
  counts_[path]++;
  if (path == "/v1/kv") {
    HandleGet(exchange);
  } else if (path == "/v1/cas") {
    HandleSwap(exchange);
  } else if (path == "/v1/lease") {
    HandleLease(exchange);
  } else if (path == "/put") {
    HandlePut(exchange);
  } else if (path == "/counts") {
    HandleCounts(exchange);
  } else {
    exchange->Reply(404, kJsonType, "{}");
  }
}

void StoreStandin::ReplyRow(const ExchangePtr& exchange, int status,
                            const Row& row) {
  exchange->Reply(
      status, kJsonType,
      DumpJson(Json{{"value", row.value}, {"revision", row.revision}}));
}

void StoreStandin::HandleGet(const ExchangePtr& exchange) {
  const std::string key = exchange->query("key");
  const std::string after = exchange->query("after");
  auto it = rows_.find(key);
  if (after.empty()) {
    if (it == rows_.end()) {
      exchange->Reply(404, kJsonType, "{}");
    } else {
      ReplyRow(exchange, 200, it->second);
    }
    return;
  }
  const uint64_t revision = strtoull(after.c_str(), nullptr, 10);
  if (it != rows_.end() && it->second.revision > revision) {
    ReplyRow(exchange, 200, it->second);
    return;
  }
  const int wait = atoi(exchange->query("wait_ms").c_str());
  watches_.push_back({key, revision, exchange, 0});
  auto watch = std::prev(watches_.end());
  watch->timer = loop_->After(milliseconds(wait), [this, watch] {
    watch->exchange->Reply(204, kJsonType, "");
    watches_.erase(watch);
  });
}

void StoreStandin::NotifyWatches(const std::string& key) {
  const Row& row = rows_.at(key);
  for (auto it = watches_.begin(); it != watches_.end();) {
    if (it->key == key && row.revision > it->after) {
      loop_->Cancel(it->timer);
      ReplyRow(it->exchange, 200, row);
      it = watches_.erase(it);
    } else {
      ++it;
    }
  }
}

void StoreStandin::ReplyWrite(const ExchangePtr& exchange, int status,
                              const std::string& body) {
  if (lose_replies_ > 0) {
    lose_replies_--;
    exchange->Abort();
    return;
  }
  exchange->Reply(status, kJsonType, body);
}

void StoreStandin::Put(const std::string& key, const std::string& value) {
  rows_[key] = {value, ++revision_};
  NotifyWatches(key);
}

void StoreStandin::HandleSwap(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  const std::string key = JsonField<std::string>(v, "key", "");
  const uint64_t revision = JsonField<uint64_t>(v, "revision", 0);
  if (key.empty()) {
    exchange->Reply(400, kJsonType, "{}");
    return;
  }
  auto it = rows_.find(key);
  const uint64_t current = it == rows_.end() ? 0 : it->second.revision;
  if (current != revision) {
    ReplyRow(exchange, 409, it == rows_.end() ? Row() : it->second);
    return;
  }
  Put(key, JsonField<std::string>(v, "value", ""));
  ReplyWrite(exchange, 200,
             DumpJson(Json{{"revision", rows_.at(key).revision}}));
}

void StoreStandin::HandleLease(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  const std::string holder = JsonField<std::string>(v, "holder", "");
  const Duration ttl = milliseconds(JsonField<int64_t>(v, "ttl_ms", 0));
  Lease& lease = leases_[JsonField<std::string>(v, "key", "")];
  const bool free = lease.expires <= loop_->now();
  const bool granted = free || lease.holder == holder;
  if (granted) {
    if (free) lease.token = ++revision_;
    lease.holder = holder;
    lease.expires = loop_->now() + ttl;
  }
  const std::string body =
      DumpJson(Json{{"token", lease.token}, {"holder", lease.holder}});
  if (granted) {
    ReplyWrite(exchange, 200, body);
  } else {
    exchange->Reply(409, kJsonType, body);
  }
}

void StoreStandin::HandlePut(const ExchangePtr& exchange) {
  Put(exchange->query("key"), exchange->body());
  exchange->Reply(200, kJsonType, "{}");
}

void StoreStandin::HandleFaults(const ExchangePtr& exchange) {
  const Json v = ParseJson(exchange->body());
  down_ = JsonField(v, "down", down_);
  delay_ = milliseconds(JsonField<int64_t>(v, "delay_ms", ToMillis(delay_)));
  lose_replies_ = JsonField(v, "lose_replies", lose_replies_);
  exchange->Reply(200, kJsonType, "{}");
  if (!down_) return;
  for (Watch& watch : watches_) {
    loop_->Cancel(watch.timer);
    watch.exchange->Abort();
  }
  watches_.clear();
}

void StoreStandin::HandleCounts(const ExchangePtr& exchange) {
  exchange->Reply(200, kJsonType, DumpJson(Json(counts_)));
}

}  // namespace pinford
