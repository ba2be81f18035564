#include "requestsession.h"

using namespace RadishSwitch;

// An installer asks for a quote; the router that serves it is killed in mid-answer. The tablet retries with the same
// key and reaches another router, which takes the dead one's keys over, finds the run at its agent and passes on the
// whole answer. The quote ran once and is billed once.
TEST_F(RequestSession, routerDeath_withRetry_runsAndBillsOnce)
{
    const AdmissionQuery quote = question("quote-17", false);
    recorder.tells("A shop asks for a quote.");
    call("entry-1", quote, "agent-1");
    advance(std::chrono::milliseconds(100));

    recorder.tells("Its router dies in mid-answer; the shop retries at once, with the same key.");
    kill("entry-1");
    call("entry-2", quote, "agent-2");
    advance(std::chrono::milliseconds(100));

    recorder.tells("The answer ends.");
    finishRun("agent-1", quote, 60);
    advance(std::chrono::milliseconds(400));

    recorder.tells("The dead router's portion is closed by what the agents prove.");
    closePortionOf("entry-1");
    advance(std::chrono::milliseconds(10));
    tellSums();

    recorder.expectGolden("router-death-with-retry");
}

// The platform's store goes away just after it wrote the claim of a blind order, so that its answer is lost. The order
// is refused at once, with the time to come back, and does not run; a quote goes on meanwhile. When the store is back
// the claim is undone, the shop's retry claims it again and the order runs once.
TEST_F(RequestSession, storeOutage_withLostClaim_refusesAtOnceAndRunsOnceLater)
{
    const AdmissionQuery quote = question("quote-18", false);
    const AdmissionQuery order = question("blinds-5", true);
    recorder.tells("A shop asks for a quote; entry-1 becomes the owner of its keys.");
    call("entry-1", quote, "agent-1");
    advance(std::chrono::milliseconds(50));

    recorder.tells("The shop orders blinds. The claim is written, its answer lost, and the store goes away.");
    store.loseAnswersOfNextWrites(1);
    call("entry-1", order, "agent-2");
    advance(std::chrono::milliseconds(10));
    recorder.happens("the store goes away");
    store.setUnavailable(true);
    advance(std::chrono::milliseconds(90));

    recorder.tells("The quote goes on without the store.");
    finishRun("agent-1", quote, 60);
    advance(std::chrono::milliseconds(1900));

    recorder.tells("The shop comes back when it was told to, and the store is away still.");
    call("entry-1", question("blinds-5", true), "agent-2");
    advance(std::chrono::milliseconds(100));

    recorder.tells("The store is back; the claim that did not run is undone.");
    recorder.happens("the store is back");
    store.setUnavailable(false);
    advance(std::chrono::milliseconds(8000));

    recorder.tells("The shop comes back again.");
    call("entry-1", question("blinds-5", true), "agent-2");
    advance(std::chrono::milliseconds(100));
    finishRun("agent-2", order, 20);
    advance(std::chrono::milliseconds(1500));

    recorder.tells("A late retry of the order gets its answer again.");
    call("entry-1", question("blinds-5", true), "agent-1");
    advance(std::chrono::milliseconds(100));
    tellSums();

    recorder.expectGolden("store-outage-lost-claim");
}

// An entry is stopped as planned in the middle of a quote. It refuses what is new at once and gives its keys free, so
// that the other entry takes them over without waiting; the quote goes on to its end and its bill, and only then the
// entry ends. A late retry of the quote gets its answer at the other entry and runs nothing.
TEST_F(RequestSession, plannedStop_midAnswer_endsItsRequestsAndLosesNone)
{
    const AdmissionQuery quote = question("quote-19", false);
    const AdmissionQuery next = question("quote-20", false);
    recorder.tells("A shop asks for a quote.");
    call("entry-1", quote, "agent-1");
    advance(std::chrono::milliseconds(50));

    recorder.tells(
        "Its router is stopped in mid-answer. A new question is refused there, and goes to the other router.");
    stop("entry-1");
    advance(std::chrono::milliseconds(10));
    call("entry-1", next, "agent-2");
    advance(std::chrono::milliseconds(10));
    call("entry-2", next, "agent-2");
    advance(std::chrono::milliseconds(50));

    recorder.tells("Both answers end, each where it began.");
    finishRun("agent-1", quote, 60);
    finishRun("agent-2", next, 40);
    advance(std::chrono::milliseconds(50));

    recorder.tells("A late retry of the first quote.");
    call("entry-2", quote, "agent-2");
    advance(std::chrono::milliseconds(50));
    tellSums();

    recorder.expectGolden("planned-stop");
}
