#include "review/standins-3/back_end.h"

#include "edge/asio_loop.h"

namespace reedtrail::review {
namespace {

constexpr milliseconds heartbeat(1200);
constexpr int missedHeartbeats = 3; // An entry is removed after so many intervals of silence.

} // namespace

back_end::back_end(deployment &platform, back_end_facts facts, handler handle)
    : m_platform(platform)
    , m_facts(std::move(facts))
    , m_handle(std::move(handle))
    , m_inner(freeAddress())
    , m_server(platform.io(),
               { .address = m_inner },
               [this](std::shared_ptr<http_exchange> exchange) {
                   if (exchange->request().fields.get("Expect-Instance") != m_facts.id) {
                       exchange->respond({ 421, { { "Instance-Id", m_facts.id } }, "" });
                   } else {
                       m_handle(*this, std::move(exchange));
                   }
               })
    , m_link(platform.io(), freeAddress(), m_inner)
    , m_born(unixMilliseconds())
{
    if (!m_server.start()) {
        m_platform.finish(verdict::NotRun, "the port of server " + m_facts.id + " is taken");
    }
    beat(m_incarnation);
}

void back_end::writeEntry()
{
    const nlohmann::json entry{ { "service", m_facts.service },
                                { "address", m_link.address().text() },
                                { "zone", "z1" },
                                { "version", m_facts.build },
                                { "slots", m_facts.slots },
                                { "state", "ready" },
                                { "coldLeftMs", 0 },
                                { "sequence", 0 },
                                { "models", m_facts.models },
                                { "stage", "both" },
                                { "born", m_born } };
    m_platform.store().put("servers/" + m_facts.id, entry.dump());
    m_lastBeat = m_platform.now();
}

void back_end::beat(int incarnation)
{
    if (incarnation != m_incarnation || !m_isRunning) {
        return;
    }
    if (!m_isCut) {
        writeEntry();
    }
    m_platform.after(heartbeat, [this, incarnation] {
        beat(incarnation);
    });
}

/** Removes the entry three heartbeats after its last renewal, unless it has been renewed since. */
void back_end::removeWhenSilent()
{
    const std::int64_t due = m_lastBeat + missedHeartbeats * heartbeat.count();
    m_platform.after(milliseconds(std::max<std::int64_t>(0, due - m_platform.now())), [this, id = m_facts.id, last = m_lastBeat] {
        if (m_facts.id != id || m_lastBeat == last) {
            m_platform.record("entry of " + id + " is removed");
            m_platform.store().remove("servers/" + id);
        }
    });
}

void back_end::setCut(bool isCut)
{
    m_isCut = isCut;
    if (isCut) {
        removeWhenSilent();
    } else if (m_isRunning) {
        writeEntry();
    }
}

void back_end::end()
{
    m_isRunning = false;
    m_link.endProcess();
    removeWhenSilent();
}

void back_end::goDark()
{
    m_isRunning = false;
    m_link.goDark();
    removeWhenSilent();
}

void back_end::start(const std::string &id, const std::string &build)
{
    m_facts.id = id;
    m_facts.build = build;
    m_born = unixMilliseconds();
    m_isRunning = true;
    ++m_incarnation;
    m_link.start();
    beat(m_incarnation);
}

} // namespace reedtrail::review
