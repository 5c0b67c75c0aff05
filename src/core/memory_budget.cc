#include "auburnyard/memory_budget.h"

#include <utility>

namespace auburnyard {

MemoryBudget::MemoryBudget(std::size_t limit, Hooks budget_hooks)
    : limit_bytes(limit), hooks(std::move(budget_hooks)) {}

MemoryBudget::Holders::iterator MemoryBudget::Add(const void* source,
                                                  std::string_view kind,
                                                  std::string name,
                                                  std::function<void()> evict) {
  const auto entry = this->sources.try_emplace(source).first;
  ++entry->second.exchanges;
  return this->holders.insert(this->holders.end(), {.source = entry,
                                                    .kind = kind,
                                                    .name = std::move(name),
                                                    .evict = std::move(evict)});
}

void MemoryBudget::Remove(Holders::iterator holder) {
  this->Set(*holder, 0);
  if (--holder->source->second.exchanges == 0) {
    this->sources.erase(holder->source);
  }
  this->holders.erase(holder);
}

void MemoryBudget::Set(Holder& holder, std::size_t bytes) {
  const bool grows = bytes > holder.bytes;
  this->used_bytes += bytes - holder.bytes;
  holder.source->second.bytes += bytes - holder.bytes;
  holder.bytes = bytes;
  if (bytes == 0) {
    holder.evicted = false;  // a new exchange may follow
  }
  if (grows) {
    this->CheckLimit();
  }
}

void MemoryBudget::SetLimit(std::size_t bytes) {
  this->limit_bytes = bytes;
  this->CheckLimit();
}

void MemoryBudget::CheckLimit() {
  if (this->used_bytes > this->limit_bytes && !this->reclaim_scheduled) {
    this->reclaim_scheduled = true;
    this->hooks.schedule_reclaim();
  }
}

MemoryBudget::Holders::iterator MemoryBudget::FindVictim() {
  const auto rank = [](const Holder& holder) {
    return std::pair(holder.source->second.bytes, holder.bytes);
  };
  auto victim = this->holders.end();
  for (auto it = this->holders.begin(); it != this->holders.end(); ++it) {
    if (it->bytes > 0 && it->evictable && !it->evicted &&
        (victim == this->holders.end() || rank(*it) > rank(*victim))) {
      victim = it;
    }
  }
  return victim;
}

// Ending one exchange may end or grow others, so that each victim is looked up
// anew.
void MemoryBudget::Reclaim() {
  while (this->used_bytes > this->limit_bytes) {
    const auto victim = this->FindVictim();
    if (victim == this->holders.end()) {
      break;
    }
    victim->evicted = true;
    if (this->hooks.on_evicted) {
      this->hooks.on_evicted({.kind = victim->kind,
                              .name = victim->name,
                              .bytes = victim->bytes,
                              .source_bytes = victim->source->second.bytes,
                              .used = this->used_bytes,
                              .limit = this->limit_bytes});
    }
    const std::function<void()> evict = victim->evict;
    evict();
  }
  this->reclaim_scheduled = false;
}

MemoryCharge::MemoryCharge(MemoryBudget* memory_budget,
                           const void* source,
                           std::string_view kind,
                           std::string name,
                           std::function<void()> evict)
    : budget(memory_budget) {
  if (this->budget != nullptr) {
    this->holder =
        this->budget->Add(source, kind, std::move(name), std::move(evict));
  }
}

MemoryCharge::~MemoryCharge() {
  if (this->budget != nullptr) {
    this->budget->Remove(this->holder);
  }
}

void MemoryCharge::Set(std::size_t bytes) {
  if (this->budget != nullptr) {
    this->budget->Set(*this->holder, bytes);
  }
}

void MemoryCharge::SetEvictable(bool evictable) {
  if (this->budget != nullptr) {
    this->holder->evictable = evictable;
  }
}

}  // namespace auburnyard
