#pragma once

#include "limits/intakebudget.h"
#include "limits/linkshedder.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

/// A gateway behind a link that carries the same in each direction, first come, first served. Each request passes the
/// link twice, its answer as well. Requests are refused by the delay of new connections and, if the settings say so, by
/// counted bytes.
class NarrowGateway
{
public:
    using Duration = RadishSwitch::Duration;
    using Instant = RadishSwitch::Instant;

    struct Request {
        std::string organisation;
        /// Length of the body, and what the head says about it.
        std::int64_t bytes = 0;
        std::int64_t declared = 0;
    };

    /// What became of the requests of an organisation.
    struct Outcome {
        int sent = 0;
        int accepted = 0;
        std::int64_t acceptedBytes = 0;
        std::map<RadishSwitch::RefusalReason, int> refused;
        /// From the sending of a request until its body was at an endpoint.
        std::vector<Duration> delays;

        int refusals() const
        {
            int sum = 0;
            for (const auto &[reason, count] : refused) {
                sum += count;
            }
            return sum;
        }

        Duration delay(double quantile) const
        {
            std::vector<Duration> sorted = delays;
            std::ranges::sort(sorted);
            const auto n = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
            return sorted.empty() ? Duration::zero() : sorted[std::min(n, sorted.size() - 1)];
        }
    };

    NarrowGateway(VirtualTimerService &timers, RadishSwitch::IntakeBudgetSettings settings)
        : budget(settings, traffic, random)
        , m_timers(timers)
    {
        setBandwidth(settings.megabitsPerSecond);
    }

    /// The bandwidth that the link has in fact.
    void setBandwidth(double megabitsPerSecond)
    {
        m_bytesPerSecond = megabitsPerSecond * 1e6 / 8;
    }

    /// Sends a request. The caller sends on when its first bytes were not refused.
    void send(const Request &request)
    {
        const Instant sentAt = m_timers.now();
        ++outcomes[request.organisation].sent;
        const std::int64_t first = std::min(request.bytes, bytesBeforeRefusal);
        const Instant headRead = pass(m_in, kHead);
        const Instant firstRead = pass(m_in, first);
        at(headRead, [this, request, sentAt, first, firstRead] {
            decide(request, sentAt, first, firstRead);
        });
    }

    /// Sends requests of an organisation at random moments, at the given number of bytes per second, with lengths of
    /// equal probability for each order of magnitude.
    void sendSteadily(const std::string &organisation, double bytesPerSecond, std::int64_t least, std::int64_t most,
                      Instant end)
    {
        const double ratio = std::log(static_cast<double>(most) / static_cast<double>(least));
        const double mean = static_cast<double>(most - least) / ratio;
        const double gap = -std::log(1 - random.fraction()) * mean / bytesPerSecond;
        const Instant next = m_timers.now() + seconds(gap);
        if (next >= end) {
            return;
        }
        at(next, [=, this] {
            const auto bytes =
                static_cast<std::int64_t>(static_cast<double>(least) * std::exp(ratio * random.fraction()));
            send({organisation, bytes, bytes});
            sendSteadily(organisation, bytesPerSecond, least, most, end);
        });
    }

    Duration longestQueue() const
    {
        return m_longestQueue;
    }

    RadishSwitch::LinkTraffic traffic;
    SeededRandom random;
    RadishSwitch::IntakeBudget budget;
    RadishSwitch::LinkShedder shedder;
    std::map<std::string, Outcome> outcomes;
    std::function<void(const Request &, Duration retryAfter)> onRefused;
    /// What a caller sends of a body before it can have read a refusal: the initial window of TCP.
    std::int64_t bytesBeforeRefusal = 14'600;
    /// Callers that declare more than they send keep their connections open.
    bool isWaitingForRest = false;

private:
    static constexpr std::int64_t kHead = 500;
    static constexpr std::int64_t kAnswer = 1'000;
    static constexpr Duration kWay = std::chrono::milliseconds(1);
    static constexpr Duration kEndpointTime = std::chrono::milliseconds(20);

    static Duration seconds(double n)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(n));
    }

    void at(Instant moment, std::function<void()> work)
    {
        m_timers.after(moment - m_timers.now(), std::move(work));
    }

    /// Puts bytes into the queue of a direction; gives when the last of them has passed.
    Instant pass(Instant &freeAt, std::int64_t bytes)
    {
        freeAt = std::max(freeAt, m_timers.now()) + seconds(static_cast<double>(bytes) / m_bytesPerSecond);
        m_longestQueue = std::max(m_longestQueue, freeAt - m_timers.now());
        return freeAt;
    }

    void decide(const Request &request, Instant sentAt, std::int64_t first, Instant firstRead)
    {
        const Instant now = m_timers.now();
        traffic.noteIn(kHead);
        Outcome &outcome = outcomes[request.organisation];
        std::optional<RadishSwitch::RefusalReason> reason;
        if (shedder.isShedding(now)) {
            shedder.noteRefused(now);
            reason = RadishSwitch::RefusalReason::LinkDelay;
        } else {
            reason = budget.refusalOf({RadishSwitch::OrganisationId(request.organisation), request.declared}, now);
        }
        if (reason) {
            ++outcome.refused[*reason];
            at(firstRead, [this, first] {
                traffic.noteIn(first);
            });
            if (onRefused) {
                onRefused(request, budget.retryAfter(now));
            }
            return;
        }
        ++outcome.accepted;
        outcome.acceptedBytes += request.bytes;
        at(now + kWay, [this, request, sentAt, first, firstRead] {
            const Instant restRead = pass(m_in, request.bytes - first);
            at(std::max(firstRead, restRead), [this, request, sentAt] {
                forward(request, sentAt);
            });
        });
    }

    void forward(const Request &request, Instant sentAt)
    {
        const Instant now = m_timers.now();
        traffic.noteDeclaredIn(request.bytes);
        if (request.declared > request.bytes) {
            return isWaitingForRest ? void() : budget.noteCutOff(request.declared - request.bytes, now - sentAt, now);
        }
        const Duration connecting = std::max(m_in - now, Duration::zero()) + std::max(m_out - now, Duration::zero());
        at(now + connecting + kWay, [this, connecting] {
            shedder.noteConnected("near", connecting + kWay, m_timers.now());
        });
        traffic.noteOut(kHead + request.bytes);
        const Instant arrived = pass(m_out, kHead + request.bytes);
        outcomes[request.organisation].delays.push_back(arrived - sentAt);
        at(arrived + kEndpointTime, [this] {
            at(pass(m_in, kAnswer), [this] {
                traffic.noteIn(kAnswer);
                traffic.noteOut(kAnswer);
                pass(m_out, kAnswer);
            });
        });
    }

    VirtualTimerService &m_timers;
    double m_bytesPerSecond = 0;
    /// When each direction has passed all that is in its queue.
    Instant m_in{};
    Instant m_out{};
    Duration m_longestQueue{};
};
