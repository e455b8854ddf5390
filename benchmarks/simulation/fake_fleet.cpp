#include "simulation/fake_fleet.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail::simulation
{

namespace
{

constexpr std::uint32_t chunk_tokens = 128;

std::uint32_t context_of(const stream_request& request)
{
    return request.prompt_tokens + request.delivered;
}

} // namespace

fake_fleet::fake_fleet(event_loop& loop)
    : loop{loop}
{
}

std::size_t fake_fleet::add_engine(engine about, engine_shape shape)
{
    ensure(about.holdings.size() == 1, "a fake engine holds one range");
    fake_engine::listener listener{
        [this](const admission& granted)
        {
            this->on_admitted(granted);
        },
        [this](const work& item)
        {
            this->on_done(item);
        },
        [this](stream_key key)
        {
            this->on_lost(key);
        }};
    const std::uint32_t held = about.holdings.front().layers.size();
    this->engines.push_back(std::make_unique<fake_engine>(
        this->loop, shape, held, std::move(listener)));
    this->engine_zone.push_back(this->zone_index(about.zone));
    this->description.engines.push_back(std::move(about));
    return this->engines.size() - 1;
}

void fake_fleet::add_model(model_shape model)
{
    this->description.models.push_back(std::move(model));
}

std::size_t fake_fleet::zone_index(const zone_id& zone)
{
    const auto found = std::ranges::find(this->zones, zone);
    if (found != this->zones.end())
    {
        return static_cast<std::size_t>(found - this->zones.begin());
    }
    this->zones.push_back(zone);
    for (auto& row : this->delays)
    {
        row.push_back(duration::zero());
    }
    this->delays.emplace_back(this->zones.size(), duration::zero());
    return this->zones.size() - 1;
}

void fake_fleet::set_link(const zone_id& a, const zone_id& b, duration delay)
{
    const std::size_t first = this->zone_index(a);
    const std::size_t second = this->zone_index(b);
    this->delays[first][second] = delay;
    this->delays[second][first] = delay;
    this->description.links.push_back({a, b, delay});
}

duration fake_fleet::delay_between(std::size_t from, std::size_t to) const
{
    return this->delays[this->engine_zone[from]][this->engine_zone[to]];
}

stream_key fake_fleet::start(stream_request request)
{
    const stream_key key = this->next_key++;
    auto fresh = std::make_unique<stream>();
    for (const fake_stage& stage : request.stages)
    {
        fresh->admission_order.push_back(stage.engine);
    }
    std::ranges::sort(fresh->admission_order);
    fresh->produced = request.delivered;
    fresh->request = std::move(request);
    stream& running = *fresh;
    this->streams.emplace(key, std::move(fresh));
    this->next_admission(key, running);
    return key;
}

void fake_fleet::next_admission(stream_key key, stream& running)
{
    if (running.admitted == running.admission_order.size())
    {
        this->begin_prefill(key, running);
        return;
    }
    const stream_request& request = running.request;
    const token_count kv{request.prompt_tokens + request.output_tokens};
    const std::size_t engine = running.admission_order[running.admitted];
    this->engines[engine]->admit({key, kv, request.prefix, request.priority});
}

void fake_fleet::on_admitted(const admission& granted)
{
    const auto found = this->streams.find(granted.stream);
    if (found == this->streams.end())
    {
        return;
    }
    ++found->second->admitted;
    this->next_admission(granted.stream, *found->second);
}

void fake_fleet::begin_prefill(stream_key key, stream& running)
{
    stream_request& request = running.request;
    const std::uint32_t context = context_of(request);
    std::uint32_t from = context - 1;
    for (fake_stage& stage : request.stages)
    {
        const token_count cached =
            this->engines[stage.engine]->cached_tokens(request.prefix);
        const auto shared = static_cast<std::uint32_t>(
            std::min<std::uint64_t>(cached.value(), request.prefix_tokens));
        stage.kv_held = std::min(std::max(stage.kv_held, shared), context - 1);
        from = std::min(from, stage.kv_held);
    }
    running.prefill_from = from;
    this->run_chunk(key, 0, std::min(context, from + chunk_tokens));
}

void fake_fleet::run_chunk(
    stream_key key, std::uint32_t stage, std::uint32_t end)
{
    const auto found = this->streams.find(key);
    if (found == this->streams.end())
    {
        return;
    }
    const stream& running = *found->second;
    const fake_stage& at = running.request.stages[stage];
    const std::uint32_t base = running.prefill_from;
    const std::uint32_t first =
        base + (end - 1 - base) / chunk_tokens * chunk_tokens;
    work item{key, stage, at.layers, 0, end, running.request.priority};
    if (end <= at.kv_held)
    {
        this->chunk_done(item);
        return;
    }
    item.prefill = end - std::max(first, at.kv_held);
    this->engines[at.engine]->run(item);
}

void fake_fleet::on_done(const work& item)
{
    const auto found = this->streams.find(item.stream);
    if (found == this->streams.end())
    {
        return;
    }
    if (item.context_end > 0)
    {
        this->chunk_done(item);
        return;
    }
    this->decode_done(item, *found->second);
}

void fake_fleet::chunk_done(const work& item)
{
    const stream& running = *this->streams.at(item.stream);
    const stream_request& request = running.request;
    const std::uint32_t context = context_of(request);
    const stream_key key = item.stream;
    const std::uint32_t end = item.context_end;
    const std::uint32_t next = item.stage + 1;
    if (next < request.stages.size())
    {
        this->loop.after(
            this->delay_between(
                request.stages[item.stage].engine, request.stages[next].engine),
            [this, key, next, end]
            {
                this->run_chunk(key, next, end);
            });
    }
    else if (end == context)
    {
        for (const fake_stage& stage : request.stages)
        {
            this->engines[stage.engine]->remember_prefix(
                request.prefix, token_count{request.prefix_tokens});
        }
        this->deliver(key);
        return;
    }
    if (item.stage == 0 && end < context)
    {
        this->run_chunk(key, 0, std::min(context, end + chunk_tokens));
    }
}

void fake_fleet::deliver(stream_key key)
{
    stream& running = *this->streams.at(key);
    const token_index index{running.produced++};
    if (running.heard && running.request.on_token)
    {
        // The listener may cancel the stream, and its own function with it.
        const auto listener = running.request.on_token;
        listener(index);
    }
    const auto still = this->streams.find(key);
    if (still == this->streams.end())
    {
        return;
    }
    stream& going = *still->second;
    if (going.produced >= going.request.output_tokens)
    {
        this->finish(key, stream_end::finished);
        return;
    }
    going.decode_stage = 0;
    const auto& stages = going.request.stages;
    this->loop.after(
        this->delay_between(stages.back().engine, stages.front().engine),
        [this, key]
        {
            this->decode(key);
        });
}

void fake_fleet::decode(stream_key key)
{
    const auto found = this->streams.find(key);
    if (found == this->streams.end())
    {
        return;
    }
    const stream& running = *found->second;
    const fake_stage& at = running.request.stages[running.decode_stage];
    this->engines[at.engine]->run(
        {key, running.decode_stage, at.layers, 0, 0, running.request.priority});
}

void fake_fleet::decode_done(const work& item, stream& running)
{
    const auto& stages = running.request.stages;
    if (item.stage + 1 == stages.size())
    {
        this->deliver(item.stream);
        return;
    }
    running.decode_stage = item.stage + 1;
    this->loop.after(
        this->delay_between(
            stages[item.stage].engine, stages[item.stage + 1].engine),
        [this, key = item.stream]
        {
            this->decode(key);
        });
}

void fake_fleet::on_lost(stream_key key)
{
    if (this->streams.contains(key))
    {
        this->finish(key, stream_end::stage_lost);
    }
}

void fake_fleet::finish(stream_key key, stream_end how)
{
    auto node = this->streams.extract(key);
    const stream& ended = *node.mapped();
    this->release(key, ended);
    if (ended.heard && ended.request.on_end)
    {
        ended.request.on_end(how);
    }
}

void fake_fleet::release(stream_key key, const stream& ended)
{
    const std::size_t reached =
        std::min(ended.admitted + 1, ended.admission_order.size());
    for (std::size_t i = 0; i < reached; ++i)
    {
        this->engines[ended.admission_order[i]]->release(key);
    }
}

void fake_fleet::cancel(stream_key stream)
{
    auto node = this->streams.extract(stream);
    if (!node.empty())
    {
        this->release(stream, *node.mapped());
    }
}

void fake_fleet::silence(stream_key stream)
{
    const auto found = this->streams.find(stream);
    if (found != this->streams.end())
    {
        found->second->heard = false;
    }
}

fake_engine& fake_fleet::at(std::size_t index)
{
    return *this->engines[index];
}

std::size_t fake_fleet::size() const
{
    return this->engines.size();
}

fleet_snapshot fake_fleet::snapshot() const
{
    fleet_snapshot view = this->description;
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        view.engines[i].load = this->engines[i]->load();
        view.engines[i].healthy = this->engines[i]->alive();
    }
    return view;
}

} // namespace fireflysail::simulation
