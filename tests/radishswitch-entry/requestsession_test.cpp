#include "entryfixture.h"

#include <nlohmann/json.hpp>

using namespace RadishSwitch;

class RequestSessionTest : public EntryFixture
{
protected:
    /// What the caller was told in a whole answer that is an error.
    nlohmann::json error() const
    {
        return nlohmann::json::parse(exchange.responses.at(0).body).at("error");
    }

    /// An agent that is cut off for ten seconds in mid-answer, while its engine goes on; all of the answer is there
    /// then.
    AgentSide cutOffForAWhile(const std::string &begun, const std::string &rest)
    {
        return [this, begun, rest](int, const StreamPointer &agent, const std::string &attempt) {
            const bool isCut = loop.timers.now() < m_begin + std::chrono::seconds(10);
            if (agent->path == "/run") {
                agent->deliver(head(attempt));
                agent->deliver(chunk(attempt, 0, begun));
            }
            if (isCut) {
                agent->close(lost());
                return;
            }
            agent->deliver(chunk(attempt, begun.size(), rest));
            agent->deliver(done(attempt, 12));
        };
    }

    /// An agent whose endpoint is silent for a while after the first token, and then goes on.
    static AgentSide silentForAWhile()
    {
        return [](int, const StreamPointer &agent, const std::string &attempt) {
            const std::string begun = token("c-1", "one ");
            agent->deliver(head(attempt));
            agent->deliver(chunk(attempt, 0, begun));
            agent->deliver(silent(attempt));
            agent->deliver(silent(attempt));
            agent->deliver(chunk(attempt, begun.size(), token("c-1", "two")));
            agent->deliver(done(attempt, 12));
        };
    }

    void expectWholeFromTheFirst(const absl::Status &status) const
    {
        EXPECT_TRUE(status.ok()) << status;
        EXPECT_EQ(exchange.written, token("c-1", "one ") + token("c-1", "two") + "data: [DONE]\n\n");
        EXPECT_EQ(runsSent().size(), 1u);
        ASSERT_EQ(homes.settlements.size(), 1u);
        EXPECT_EQ(homes.settlements[0].chargedTokens, 12);
    }

    std::string result() const
    {
        return journal.find(RequestId("r-1"))->result;
    }

    const Instant m_begin = loop.timers.now();
};

TEST_F(RequestSessionTest, run_answered_isSettledAtTheCharge)
{
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        agent->deliver(chunk(attempt, 0, token("c-1", "hello")));
        agent->deliver(done(attempt, 12));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(exchange.written, token("c-1", "hello") + "data: [DONE]\n\n");
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_EQ(homes.settlements[0], (Settlement{12, false, false, AttemptId(FakeHomes::kGrantedAttempt)}));
    ASSERT_EQ(runsSent().size(), 1u);
    EXPECT_EQ(runsSent()[0].attempt_id(), FakeHomes::kGrantedAttempt);
    EXPECT_EQ(runsSent()[0].portion_id(), "portion-1");
    EXPECT_EQ(runsSent()[0].reserved_tokens(), chatPlan().worstCaseTokens);
    EXPECT_EQ(homes.abandoned, 0);
    EXPECT_EQ(result(), "ok");
}

// The first agent is about to leave and refuses the run: nothing ran there. The run goes to the other agent under an
// attempt id of its own, which the home knows before; the caller notices nothing.
TEST_F(RequestSessionTest, run_refusedByAnAgent_goesToAnotherEndpoint)
{
    const absl::Status status = serve(orderPlan(), [](int n, const StreamPointer &agent, const std::string &attempt) {
        if (n == 0) {
            agent->deliver(refused(attempt, makeFailure(FailureCode::EndpointLeaving, "leaving")));
            return;
        }
        agent->deliver(head(attempt, 201));
        agent->deliver(chunk(attempt, 0, "ordered"));
        agent->deliver(done(attempt, 7));
    });
    EXPECT_TRUE(status.ok()) << status;
    ASSERT_EQ(exchange.responses.size(), 1u);
    EXPECT_EQ(exchange.responses[0].status, 201);
    EXPECT_EQ(exchange.responses[0].body, "ordered");
    ASSERT_EQ(clients.opened.size(), 2u);
    EXPECT_NE(clients.opened[0]->address, clients.opened[1]->address);
    ASSERT_EQ(homes.dispatched.size(), 2u);
    EXPECT_NE(homes.dispatched[0], homes.dispatched[1]);
    EXPECT_EQ(homes.dispatched[1].value(), runsSent()[1].attempt_id());
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_EQ(homes.settlements[0].chargedTokens, 7);
}

// The engine dies after two tokens. Another engine goes on: it gets the two tokens as the answer's beginning, and its
// agent counts them into its one bill. The caller sees one answer; the first agent bills nothing.
TEST_F(RequestSessionTest, run_engineFailsMidStream_isContinuedOnOneBill)
{
    const std::string begun = token("c-1", "one ") + token("c-1", "two ");
    const absl::Status status =
        serve(chatPlan(), [&begun](int n, const StreamPointer &agent, const std::string &attempt) {
            agent->deliver(head(attempt));
            if (n == 0) {
                agent->deliver(chunk(attempt, 0, begun + "data: {\"id\""));
                agent->deliver(failed(attempt, makeFailure(FailureCode::EndpointFailed, "the engine died")));
                return;
            }
            agent->deliver(chunk(attempt, 0, begun));
            agent->deliver(chunk(attempt, begun.size(), token("c-2", "three")));
            agent->deliver(done(attempt, 30));
        });
    EXPECT_TRUE(status.ok()) << status;
    ASSERT_EQ(runsSent().size(), 2u);
    EXPECT_EQ(runsSent()[0].prior_completion_tokens(), 0);
    EXPECT_EQ(runsSent()[1].prior_completion_tokens(), 2);
    EXPECT_EQ(runsSent()[1].prior_answer(), begun);
    EXPECT_NE(runsSent()[1].body().find("one two "), std::string::npos);
    EXPECT_TRUE(exchange.written.starts_with(begun));
    EXPECT_NE(exchange.written.find("three"), std::string::npos);
    EXPECT_EQ(exchange.written.find("c-2"), std::string::npos);
    EXPECT_TRUE(exchange.written.ends_with("data: [DONE]\n\n"));
    EXPECT_EQ(exchange.begun.size(), 1u);
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_EQ(homes.settlements[0].chargedTokens, 30);
}

// Guards against an answer that two versions of an engine's software wrote.
TEST_F(RequestSessionTest, run_engineFailsMidStream_isNotContinuedByOtherSoftware)
{
    listEndpoint("agent-1", 4, "1.0");
    listEndpoint("agent-2", 4, "2.0");
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        agent->deliver(chunk(attempt, 0, token("c-1", "one ")));
        agent->deliver(failed(attempt, makeFailure(FailureCode::EndpointFailed, "the engine died")));
    });
    EXPECT_FALSE(status.ok());
    EXPECT_EQ(runsSent().size(), 1u);
}

// Guards against an answer that is lost though nothing of it was shown: other software makes it anew.
TEST_F(RequestSessionTest, run_engineFailsInAWholeAnswer_isMadeAnewByOtherSoftware)
{
    listEndpoint("agent-1", 4, "1.0");
    listEndpoint("agent-2", 4, "2.0");
    RunPlan plan = chatPlan();
    plan.isStreamed = false;
    const absl::Status status = serve(plan, [](int n, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        agent->deliver(chunk(attempt, 0, token("c-1", "one ")));
        if (n == 0) {
            agent->deliver(failed(attempt, makeFailure(FailureCode::EndpointFailed, "the engine died")));
            return;
        }
        agent->deliver(done(attempt, 12));
    });
    EXPECT_TRUE(status.ok()) << status;
    ASSERT_EQ(runsSent().size(), 2u);
    EXPECT_TRUE(runsSent()[1].prior_answer().empty());
}

// The same where the caller asked for no stream: it waits, and gets one whole answer, with one usage and one bill.
TEST_F(RequestSessionTest, run_engineFailsInAWholeAnswer_isContinuedOnOneBill)
{
    RunPlan plan = chatPlan();
    plan.chat = *ChatRequest::parse(R"({"model":"quilt","messages":[{"role":"user","content":"hi"}],"max_tokens":80})");
    plan.body = plan.chat->engineBody();
    plan.isStreamed = false;
    const std::string begun = token("c-1", "one ") + token("c-1", "two ");
    const std::string usage = R"(data: {"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":1}})"
                              "\n\n";
    const absl::Status status = serve(plan, [&](int n, const StreamPointer &agent, const std::string &attempt) {
        if (n == 0) {
            agent->deliver(head(attempt));
            agent->deliver(chunk(attempt, 0, begun + "data: {\"id\""));
            agent->deliver(failed(attempt, makeFailure(FailureCode::EndpointFailed, "the engine died")));
            return;
        }
        wire::RunUpdate accepted;
        accepted.set_attempt_id(attempt);
        accepted.mutable_accepted()->set_attempt_id(attempt);
        accepted.mutable_accepted()->set_prior_completion_tokens(2);
        agent->deliver(accepted);
        agent->deliver(head(attempt));
        agent->deliver(chunk(attempt, begun.size(), token("c-2", "three") + usage));
        agent->deliver(done(attempt, 10));
    });
    EXPECT_TRUE(status.ok()) << status;
    ASSERT_EQ(runsSent().size(), 2u);
    EXPECT_TRUE(runsSent()[0].stream());
    EXPECT_EQ(runsSent()[1].prior_answer(), begun);
    EXPECT_TRUE(exchange.begun.empty());
    ASSERT_EQ(exchange.responses.size(), 1u);
    const auto answer = nlohmann::json::parse(exchange.responses[0].body);
    EXPECT_EQ(answer["id"], "c-1");
    EXPECT_EQ(answer["choices"][0]["message"]["content"], "one two three");
    EXPECT_EQ(answer["usage"]["prompt_tokens"], 7);
    EXPECT_EQ(answer["usage"]["completion_tokens"], 3);
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_EQ(homes.settlements[0].chargedTokens, 10);
}

// A blind order was sent and its agent cannot be reached any more: it may have run. A second copy could order a second
// blind. So it is never sent again, and the caller is told that the outcome is unknown; the home goes on to find out.
TEST_F(RequestSessionTest, run_orderWhoseAgentIsUnreachable_isOfUnknownOutcomeAndNotSentTwice)
{
    const absl::Status status = serve(orderPlan(), [](int, const StreamPointer &agent, const std::string &) {
        agent->close(lost());
    });
    EXPECT_EQ(failureCode(status), FailureCode::OutcomeUnknown);
    EXPECT_EQ(runsSent().size(), 1u);
    EXPECT_EQ(error().at("code"), "outcome_unknown");
    EXPECT_EQ(error().at("outcome"), "unknown");
    ASSERT_EQ(agents.barred.size(), 1u);
    EXPECT_FALSE(agents.barred[0].isCancelled);
    EXPECT_TRUE(homes.settlements.empty());
    EXPECT_EQ(homes.abandoned, 1);
}

// The agent of an order lost its stream and says that the order runs there: it is neither cancelled nor sent again.
TEST_F(RequestSessionTest, run_orderThatRunsAtAnAgentThatCannotStream_isNotSentTwice)
{
    agents.stateWhenBarred = RunState::Running;
    const absl::Status status = serve(orderPlan(), [](int, const StreamPointer &agent, const std::string &) {
        agent->close(lost());
    });
    EXPECT_EQ(failureCode(status), FailureCode::OutcomeUnknown);
    EXPECT_EQ(runsSent().size(), 1u);
    EXPECT_EQ(homes.abandoned, 1);
}

// The order's message was lost with its connection. The agent bars the attempt, so that a late copy can't start it:
// that is the proof that nothing ran, and the order may go to another endpoint.
TEST_F(RequestSessionTest, run_orderBarredAtItsAgent_isTriedElsewhere)
{
    agents.stateWhenBarred = RunState::Barred;
    const absl::Status status = serve(orderPlan(), [](int n, const StreamPointer &agent, const std::string &attempt) {
        if (n == 0) {
            agent->deliver(refused(attempt, makeFailure(FailureCode::RunUnknown, "never seen")));
            return;
        }
        agent->deliver(head(attempt));
        agent->deliver(done(attempt, 7));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(runsSent().size(), 2u);
    ASSERT_EQ(agents.barred.size(), 1u);
    EXPECT_EQ(agents.barred[0].attempt, AttemptId(FakeHomes::kGrantedAttempt));
    EXPECT_EQ(agents.barred[0].address,
              clients.opened[0]->address + "#life-of-"
                  + clients.opened[0]->address.substr(0, std::string("agent-1").size()));
}

// Both agents have proved that the order did not start. The caller is told so, with the time to come back, and may
// order again; the home frees what was reserved.
TEST_F(RequestSessionTest, run_orderBarredEverywhere_isToldAsNotRun)
{
    const absl::Status status = serve(orderPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(refused(attempt, makeFailure(FailureCode::EndpointLeaving, "leaving")));
    });
    EXPECT_EQ(failureCode(status), FailureCode::EndpointLeaving);
    EXPECT_EQ(runsSent().size(), 2u);
    EXPECT_EQ(error().at("outcome"), "not_run");
    EXPECT_TRUE(exchange.responses[0].headers.find("Retry-After"));
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_TRUE(homes.settlements[0].isNotRun);
    EXPECT_EQ(homes.settlements[0].chargedTokens, 0);
}

// A question with a key is tried again after its first try had run and failed; this try is barred everywhere. Told "not
// run", the caller would take the request for one that never ran; 10 callers were, while connections were swallowed.
TEST_F(RequestSessionTest, run_keyedQuestionBarredEverywhere_isOfUnknownOutcome)
{
    RunPlan plan = chatPlan();
    plan.isKeyed = true;
    const absl::Status status = serve(plan, [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(refused(attempt, makeFailure(FailureCode::EndpointLeaving, "leaving")));
    });
    EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown);
    EXPECT_EQ(error().at("outcome"), "unknown");
    EXPECT_TRUE(exchange.responses[0].headers.find("Retry-After"));
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_TRUE(homes.settlements[0].isNotRun);
}

// The first agent proved that the order did not start; then the home cannot note a further attempt, so none is sent.
// Nothing ran, and the caller must be told just that: "unknown" would leave it with an order it dare not repeat.
TEST_F(RequestSessionTest, run_homeCannotNoteAFurtherAttempt_isToldAsNotRun)
{
    homes.dispatchAnswer = makeFailure(FailureCode::HomeUnreachable, "the home is gone");
    const absl::Status status = serve(orderPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(refused(attempt, makeFailure(FailureCode::EndpointLeaving, "leaving")));
    });
    EXPECT_EQ(failureCode(status), FailureCode::HomeUnreachable);
    EXPECT_EQ(runsSent().size(), 1u);
    EXPECT_EQ(error().at("outcome"), "not_run");
}

// The engine hangs after a token, and its agent tells of the silence. Another engine is free and the budget grants a
// further attempt: the silent run is stopped, and the other engine goes on with the answer, on one bill.
TEST_F(RequestSessionTest, run_endpointSilentAndAnotherToBeHad_isContinuedThere)
{
    agents.stateWhenBarred = RunState::Failed;
    const std::string begun = token("c-1", "one ");
    const absl::Status status =
        serve(chatPlan(), [&begun](int n, const StreamPointer &agent, const std::string &attempt) {
            agent->deliver(head(attempt));
            if (n == 0) {
                agent->deliver(chunk(attempt, 0, begun));
                agent->deliver(silent(attempt));
                return;
            }
            agent->deliver(chunk(attempt, begun.size(), token("c-2", "two")));
            agent->deliver(done(attempt, 30));
        });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_NE(exchange.written.find("two"), std::string::npos);
    ASSERT_EQ(runsSent().size(), 2u);
    EXPECT_EQ(runsSent()[1].prior_answer(), begun);
    EXPECT_NE(clients.opened[0]->address, clients.opened[1]->address);
    ASSERT_EQ(homes.dispatched.size(), 2u);
    EXPECT_EQ(homes.dispatched[1].value(), runsSent()[1].attempt_id());
    ASSERT_EQ(agents.barred.size(), 1u);
    EXPECT_EQ(agents.barred[0].attempt, AttemptId(FakeHomes::kGrantedAttempt));
    EXPECT_TRUE(agents.barred[0].isCancelled);
    ASSERT_EQ(homes.settlements.size(), 1u);
    EXPECT_EQ(homes.settlements[0].chargedTokens, 30);
}

// The engine is silent for a while and then goes on. The budget of retries is spent, so nobody else would make the
// answer: the run is not touched, and the caller gets a pause and the whole answer.
TEST_F(RequestSessionTest, run_endpointSilentAndNoRetryToBeHad_isWaitedForAndWhole)
{
    spendRetries();
    agents.stateWhenBarred = RunState::Failed;
    expectWholeFromTheFirst(serve(chatPlan(), silentForAWhile()));
    EXPECT_TRUE(agents.barred.empty());
}

// The same when the home cannot note a further attempt, without which none is sent.
TEST_F(RequestSessionTest, run_endpointSilentAndHomeCannotNoteAnother_isWaitedForAndWhole)
{
    homes.dispatchAnswer = makeFailure(FailureCode::HomeUnreachable, "the home is gone");
    agents.stateWhenBarred = RunState::Failed;
    expectWholeFromTheFirst(serve(chatPlan(), silentForAWhile()));
    EXPECT_TRUE(agents.barred.empty());
}

// The answer ends while the entry has the silent run stopped, and the agent has charged it. Made a second time
// elsewhere it would be charged twice. The home, which names the last attempt that it heard of to copies of the
// request, is told of the first one again.
TEST_F(RequestSessionTest, run_silentRunEndsBeforeItIsStopped_isNotMadeAgain)
{
    agents.stateWhenBarred = RunState::Done;
    expectWholeFromTheFirst(serve(chatPlan(), silentForAWhile()));
    ASSERT_GE(homes.dispatched.size(), 3u);
    EXPECT_EQ(homes.dispatched.back(), AttemptId(FakeHomes::kGrantedAttempt));
}

// The agent cannot be asked to stop its silent run, which may be charged there. It is waited for.
TEST_F(RequestSessionTest, run_silentRunThatCannotBeStopped_isWaitedForAndWhole)
{
    expectWholeFromTheFirst(serve(chatPlan(), silentForAWhile()));
}

// An order may be sent to no other endpoint, however long its own is silent.
TEST_F(RequestSessionTest, run_orderWhoseEndpointIsSilent_isWaitedFor)
{
    const absl::Status status = serve(orderPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(silent(attempt));
        agent->deliver(head(attempt, 201));
        agent->deliver(chunk(attempt, 0, "ordered"));
        agent->deliver(done(attempt, 7));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(runsSent().size(), 1u);
    EXPECT_TRUE(agents.barred.empty());
}

// The network between the entry and the agent is cut for ten seconds in mid-answer; the engine goes on. So many
// requests were tried again that the budget grants no further attempt. The run is the only one that the caller can
// have, and is not stopped: the entry comes back for it until the deadline.
TEST_F(RequestSessionTest, run_agentCutOffAndNoRetryToBeHad_isWaitedForAndWhole)
{
    agents.areGone = false;
    spendRetries();
    const absl::Status status = serve(chatPlan(), cutOffForAWhile(token("c-1", "one "), token("c-1", "two")));
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(exchange.written, token("c-1", "one ") + token("c-1", "two") + "data: [DONE]\n\n");
    EXPECT_EQ(runsSent().size(), 1u);
    for (const FakeAgentPort::Barred &it : agents.barred) {
        EXPECT_FALSE(it.isCancelled);
    }
}

// The same with an order, which may be sent to no other endpoint whatever the budget says.
TEST_F(RequestSessionTest, run_orderWhoseAgentIsCutOffForAWhile_isWaitedForAndWhole)
{
    agents.areGone = false;
    const absl::Status status = serve(orderPlan(), cutOffForAWhile("orde", "red"));
    EXPECT_TRUE(status.ok()) << status;
    ASSERT_EQ(exchange.responses.size(), 1u);
    EXPECT_EQ(exchange.responses[0].body, "ordered");
    EXPECT_EQ(runsSent().size(), 1u);
}

// The caller hangs up in mid-answer. The run may go on at its agent, so the entry cannot say what it cost: it settles
// nothing, and the home finds out at the agent.
TEST_F(RequestSessionTest, run_callerGone_isLeftToTheHome)
{
    exchange.writesUntilGone = 1;
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        agent->deliver(chunk(attempt, 0, token("c-1", "a")));
        agent->deliver(chunk(attempt, token("c-1", "a").size(), token("c-1", "b")));
        agent->deliver(done(attempt, 12));
    });
    EXPECT_EQ(failureCode(status), FailureCode::ConnectionLost);
    EXPECT_EQ(runsSent().size(), 1u);
    EXPECT_TRUE(homes.settlements.empty());
    EXPECT_EQ(homes.abandoned, 1);
}

// A retry with the same key finds the run of the first copy: it is passed that run's answer, and neither sends nor
// settles anything itself.
TEST_F(RequestSessionTest, run_duplicate_isPassedTheAnswerOfTheFirstCopy)
{
    homes.decisions.push_back(AdmitDecision(DuplicateRun{"agent-2:1#life-of-agent-2", AttemptId("first"), false}));
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        EXPECT_EQ(attempt, "first");
        agent->deliver(head(attempt));
        agent->deliver(chunk(attempt, 0, token("c-1", "a")));
        agent->deliver(done(attempt, 12));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_TRUE(runsSent().empty());
    EXPECT_TRUE(homes.settlements.empty());
    EXPECT_EQ(exchange.written, token("c-1", "a") + "data: [DONE]\n\n");
}

// A copy of the request has followed the first copy's run for ten seconds when that run moves on to another endpoint:
// it ends where it was, and the home knows where it is now. Its answer is there to be had, with most of the time left.
TEST_F(RequestSessionTest, run_duplicateWhoseRunMovesLate_findsItAgain)
{
    homes.decisions.push_back(AdmitDecision(DuplicateRun{"agent-2:1#life-of-agent-2", AttemptId("first"), false}));
    homes.decisions.push_back(AdmitDecision(DuplicateRun{"agent-1:1#life-of-agent-1", AttemptId("second"), false}));
    const absl::Status status = serve(chatPlan(), [this](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        if (attempt == "first") {
            loop.timers.after(std::chrono::seconds(10), [agent, attempt] {
                agent->deliver(failed(attempt, makeFailure(FailureCode::OutcomeUnknown, "the run was cancelled")));
            });
            return;
        }
        agent->deliver(chunk(attempt, 0, token("c-1", "a")));
        agent->deliver(done(attempt, 12));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(exchange.written, token("c-1", "a") + "data: [DONE]\n\n");
    EXPECT_TRUE(homes.settlements.empty());
}

// The home that was asked has lost the keys, and the next one cannot be reached; the third grants.
TEST_F(RequestSessionTest, run_homeElsewhere_asksAnother)
{
    homes.decisions.push_back(makeFailure(FailureCode::HomeElsewhere, "ask entry-2"));
    homes.decisions.push_back(makeFailure(FailureCode::HomeUnreachable, "no connection"));
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        agent->deliver(done(attempt, 1));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(homes.opened, 3);
    EXPECT_EQ(homes.settlements.size(), 1u);
}

// The home of the budget, at another entry, is stopping as planned. The entry that serves the caller is not: it asks
// the next home, and the caller notices nothing of the stop.
TEST_F(RequestSessionTest, run_homeDraining_asksAnother)
{
    homes.decisions.push_back(makeFailure(FailureCode::Draining, "stopping"));
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &agent, const std::string &attempt) {
        agent->deliver(head(attempt));
        agent->deliver(done(attempt, 1));
    });
    EXPECT_TRUE(status.ok()) << status;
    EXPECT_EQ(homes.opened, 2);
}

// The budget is spent. The final answer goes out at once, long before the deadline, with the time to come back.
TEST_F(RequestSessionTest, run_refusedByTheHome_isAnsweredAtOnce)
{
    homes.decisions.push_back(makeFailure(FailureCode::BudgetExhausted, "spent", std::chrono::milliseconds(700)));
    const Instant begin = loop.timers.now();
    const absl::Status status = serve(chatPlan(), [](int, const StreamPointer &, const std::string &) {});
    EXPECT_EQ(failureCode(status), FailureCode::BudgetExhausted);
    EXPECT_EQ(loop.timers.now(), begin);
    EXPECT_TRUE(runsSent().empty());
    EXPECT_EQ(error().at("retry_after_ms"), 700);
    EXPECT_EQ(error().at("outcome"), "not_run");
    EXPECT_EQ(result(), "budget_exhausted");
    EXPECT_EQ(gate.standings().at(0).underWay, 0u);
}
