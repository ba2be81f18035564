#pragma once

#include "base/failure.h"
#include "base/taskqueue.h"
#include "base/timerservice.h"
#include "messageclientsource.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// One end of a stream between two parts of a test. What it sends arrives at the other end as a task.
class FakeLoadStream : public RadishSwitch::MessageStream, public std::enable_shared_from_this<FakeLoadStream>
{
public:
    explicit FakeLoadStream(RadishSwitch::TaskQueue &tasks)
        : m_tasks(tasks)
    {
    }

    void start(MessageCallback onMessage, ClosedCallback onClosed) override
    {
        m_onMessage = std::move(onMessage);
        m_onClosed = std::move(onClosed);
        for (std::string &frame : std::exchange(m_early, {})) {
            receive(std::move(frame));
        }
    }

    void send(std::string frame) override
    {
        sent.push_back(frame);
        if (const auto other = m_other.lock(); other && !losesSent && !isClosed) {
            other->receive(std::move(frame));
        }
    }

    std::size_t queuedBytes() const override
    {
        return queued;
    }

    void whenDrained(std::size_t, std::function<void()>) override
    {
    }

    void pause() override
    {
    }

    void resume() override
    {
    }

    void finish() override
    {
        closeOther(absl::OkStatus());
    }

    void cancel() override
    {
        const absl::Status status =
            RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionLost, "the stream was cancelled");
        close(status);
        closeOther(status);
    }

    void close(const absl::Status &status)
    {
        if (!std::exchange(isClosed, true)) {
            m_tasks.post([self = shared_from_this(), status] {
                if (self->m_onClosed) {
                    self->m_onClosed(status);
                }
            });
        }
    }

    void closeOther(const absl::Status &status)
    {
        if (const auto other = m_other.lock()) {
            other->close(status);
        }
    }

    void receive(std::string frame)
    {
        if (!m_onMessage) {
            m_early.push_back(std::move(frame));
            return;
        }
        m_tasks.post([self = shared_from_this(), frame = std::move(frame)] {
            if (!self->isClosed) {
                self->m_onMessage(frame);
            }
        });
    }

    static void connect(const std::shared_ptr<FakeLoadStream> &a, const std::shared_ptr<FakeLoadStream> &b)
    {
        a->m_other = b;
        b->m_other = a;
    }

    std::vector<std::string> sent;
    std::size_t queued = 0;
    bool losesSent = false;
    bool isClosed = false;

private:
    RadishSwitch::TaskQueue &m_tasks;
    std::weak_ptr<FakeLoadStream> m_other;
    MessageCallback m_onMessage;
    ClosedCallback m_onClosed;
    std::vector<std::string> m_early;
};

/// Processes that can be reached by their address, with the faults of real ones.
class FakeLoadClients : public RadishSwitch::MessageClientSource
{
public:
    enum class Fault {
        None,
        /// Nothing listens: connections fail at once, and the streams that were open have closed.
        Killed,
        /// The kernel takes connections and bytes, and nothing is answered. Open streams close as silent.
        Frozen,
        /// What the process sends is lost.
        MuteAnswers,
        /// It has no handler of the path.
        Older,
    };

    using Handler = std::function<void(const RadishSwitch::MessageStreamPointer &)>;

    FakeLoadClients(RadishSwitch::TaskQueue &tasks, RadishSwitch::TimerService &timers)
        : m_tasks(tasks)
        , m_timers(timers)
    {
    }

    void addProcess(const std::string &address, Handler handler)
    {
        m_processes[address].handler = std::move(handler);
    }

    void setFault(const std::string &address, Fault fault)
    {
        Process &process = m_processes[address];
        process.fault = fault;
        for (const auto &stream : process.streams) {
            stream->losesSent = fault == Fault::MuteAnswers || fault == Fault::Frozen;
        }
        if (fault == Fault::Killed) {
            closeStreams(process, RadishSwitch::FailureCode::ConnectionLost);
        }
        if (fault == Fault::Frozen || fault == Fault::MuteAnswers) {
            m_timers.after(kSilenceTimeout, [this, address] {
                closeStreams(m_processes[address], RadishSwitch::FailureCode::ConnectionSilent);
            });
        }
    }

    std::shared_ptr<RadishSwitch::MessageClient> client(const std::string &address) override
    {
        return std::make_shared<Client>(*this, address);
    }

    /// Streams that were opened to a process.
    int opened(const std::string &address) const
    {
        const auto it = m_processes.find(address);
        return it == m_processes.end() ? 0 : it->second.opened;
    }

private:
    /// A PING that nothing answers ends the connection after so long.
    static constexpr RadishSwitch::Duration kSilenceTimeout = std::chrono::milliseconds(1500);

    struct Process {
        Handler handler;
        Fault fault = Fault::None;
        int opened = 0;
        /// The ends of this process.
        std::vector<std::shared_ptr<FakeLoadStream>> streams;
    };

    class Client : public RadishSwitch::MessageClient
    {
    public:
        Client(FakeLoadClients &clients, std::string address)
            : m_clients(clients)
            , m_address(std::move(address))
        {
        }

        RadishSwitch::MessageStreamPointer open(const std::string &, std::string firstFrame) override
        {
            return m_clients.openStream(m_address, std::move(firstFrame));
        }

        const std::string &address() const override
        {
            return m_address;
        }

        void close() override
        {
        }

    private:
        FakeLoadClients &m_clients;
        const std::string m_address;
    };

    RadishSwitch::MessageStreamPointer openStream(const std::string &address, std::string firstFrame)
    {
        Process &process = m_processes[address];
        ++process.opened;
        const auto near = std::make_shared<FakeLoadStream>(m_tasks);
        if (!process.handler || process.fault == Fault::Killed) {
            near->close(RadishSwitch::makeFailure(RadishSwitch::FailureCode::ConnectionLost, "nobody is there"));
            return near;
        }
        if (process.fault == Fault::Older) {
            near->close(RadishSwitch::makeFailure(RadishSwitch::FailureCode::MalformedMessage, "no such path"));
            return near;
        }
        if (process.fault == Fault::Frozen) {
            return near;
        }
        const auto far = std::make_shared<FakeLoadStream>(m_tasks);
        far->losesSent = process.fault == Fault::MuteAnswers;
        FakeLoadStream::connect(near, far);
        process.streams.push_back(far);
        process.handler(far);
        near->send(std::move(firstFrame));
        return near;
    }

    static void closeStreams(Process &process, RadishSwitch::FailureCode code)
    {
        for (const auto &stream : std::exchange(process.streams, {})) {
            const absl::Status status = RadishSwitch::makeFailure(code, "the connection is gone");
            stream->close(status);
            stream->closeOther(status);
        }
    }

    RadishSwitch::TaskQueue &m_tasks;
    RadishSwitch::TimerService &m_timers;
    std::map<std::string, Process> m_processes;
};
