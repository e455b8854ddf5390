#include "serving/admission_gate.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

// How often a waiting thread looks whether its caller is still there.
constexpr duration presence_interval = std::chrono::milliseconds{100};

} // namespace

admission_gate::slot::slot(admission_gate& gate, const queue_entry& entry)
    : gate{gate}
    , entry{entry}
{
    const absl::MutexLock lock{&gate.mutex};
    gate.slots[entry.ticket] = this;
}

admission_gate::slot::~slot()
{
    const absl::MutexLock lock{&this->gate.mutex};
    this->gate.slots.erase(this->entry.ticket);
    if (this->holds_turn)
    {
        this->gate.queue.release(
            this->entry.ticket,
            this->finished ? slot_end::finished : slot_end::interrupted,
            this->gate.time.now());
        this->gate.settle();
    }
}

bool admission_gate::slot::preempt_requested() const
{
    return this->preempting.load(std::memory_order_relaxed);
}

bool admission_gate::slot::yield(
    duration remaining, const caller_presence& present)
{
    const absl::MutexLock lock{&this->gate.mutex};
    waiter self;
    this->gate.waiters[this->entry.ticket] = &self;
    this->preempting.store(false, std::memory_order_relaxed);
    this->gate.queue.on_preempted(
        this->entry.ticket, remaining, this->gate.time.now());
    this->gate.settle();
    this->gate.wait(this->entry.ticket, self, present);
    this->holds_turn = self.state == standing::admitted;
    return this->holds_turn;
}

bool admission_gate::slot::resume(const caller_presence& present)
{
    const absl::MutexLock lock{&this->gate.mutex};
    const auto now = this->gate.time.now();
    this->gate.queue.release(this->entry.ticket, slot_end::interrupted, now);
    waiter self;
    this->gate.waiters[this->entry.ticket] = &self;
    const auto answer = this->gate.queue.resume(this->entry, now);
    if (std::holds_alternative<admitted>(answer))
    {
        self.state = standing::admitted;
    }
    this->gate.settle();
    this->gate.wait(this->entry.ticket, self, present);
    this->holds_turn = self.state == standing::admitted;
    return this->holds_turn;
}

void admission_gate::slot::finish()
{
    this->finished = true;
}

admission_gate::admission_gate(
    const clock& time, const admission_queue::options& options)
    : time{time}
    , queue{options}
{
}

void admission_gate::set_capacity(std::size_t slots)
{
    const absl::MutexLock lock{&this->mutex};
    this->queue.set_capacity(slots);
    this->settle();
}

admission_gate::entrance
admission_gate::enter(queue_entry entry, const caller_presence& present)
{
    waiter self;
    {
        const absl::MutexLock lock{&this->mutex};
        entry.ticket = ticket_id{this->next_ticket++};
        this->waiters[entry.ticket] = &self;
        const auto answer = this->queue.submit(entry, this->time.now());
        if (std::holds_alternative<admitted>(answer))
        {
            self.state = standing::admitted;
        }
        else if (const auto* refusal = std::get_if<refused>(&answer))
        {
            self.state = standing::refused;
            self.answer = refusal->answer;
        }
        this->settle();
        this->wait(entry.ticket, self, present);
        if (self.state != standing::admitted)
        {
            return self.answer;
        }
    }
    return std::make_unique<slot>(*this, entry);
}

void admission_gate::tick()
{
    const absl::MutexLock lock{&this->mutex};
    this->settle();
}

std::size_t admission_gate::waiting() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->queue.waiting();
}

std::size_t admission_gate::running() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->queue.running();
}

void admission_gate::settle()
{
    for (const auto& decision : this->queue.poll(this->time.now()))
    {
        std::visit(
            [this](const auto& taken)
            {
                this->mutex.AssertHeld();
                this->apply(taken);
            },
            decision);
    }
}

void admission_gate::apply(const admitted& decision)
{
    const auto found = this->waiters.find(decision.ticket);
    if (found != this->waiters.end())
    {
        found->second->state = standing::admitted;
        found->second->changed.set();
    }
}

void admission_gate::apply(const refused& decision)
{
    const auto found = this->waiters.find(decision.ticket);
    if (found != this->waiters.end())
    {
        found->second->state = standing::refused;
        found->second->answer = decision.answer;
        found->second->changed.set();
    }
}

void admission_gate::apply(const preempt& decision)
{
    const auto found = this->slots.find(decision.ticket);
    if (found != this->slots.end())
    {
        found->second->preempting.store(true, std::memory_order_relaxed);
    }
}

void admission_gate::wait(
    ticket_id ticket, waiter& self, const caller_presence& present)
{
    while (self.state == standing::waiting)
    {
        this->mutex.Unlock();
        const bool is_changed = self.changed.wait_for(presence_interval);
        this->mutex.Lock();
        if (!is_changed && self.state == standing::waiting && !present())
        {
            this->queue.cancel(ticket, this->time.now());
            self.state = standing::refused;
            self.answer = did_not_run{did_not_run_reason::cancelled, {}};
        }
    }
    this->waiters.erase(ticket);
}

} // namespace fireflysail
