#include "goldensession.h"

using namespace RadishSwitch;

namespace
{

constexpr char kChat[] = "/v1/chat/completions";

std::string chat(const std::string &text)
{
    return R"({"model":"quilt","messages":[{"role":"user","content":")" + text
        + R"("}],"max_tokens":10,"stream":true})";
}

}

// A shop asks, asks again with the same key, orders a blind and retries the order. Nothing fails: each run is made
// once, each answer is billed once, and the retries get the kept answers.
TEST_F(GoldenSession, steadySession_withRetries_runsAndBillsEachOnce)
{
    for (int n : {1, 2}) {
        agent(n).setAnswer({"three", " blinds"});
    }
    recorder.tells("The shop asks for a quote, without a key: no owner of keys and no claim are needed.");
    call(kChat, chat("how many?"));

    recorder.tells("It asks with a key: entry-1 becomes the owner of its keys.");
    call(kChat, chat("and now?"), "quote-2");

    recorder.tells("It asks again with the same key, and gets the answer of the first run.");
    call(kChat, chat("and now?"), "quote-2");

    recorder.tells("It orders: the claim is in the store before the order goes out.");
    call("/services/orders/blinds", "three blinds", "blinds-1");
    loop.advance(std::chrono::milliseconds(1500));

    recorder.tells("A late retry of the order gets its answer and orders nothing.");
    call("/services/orders/blinds", "three blinds", "blinds-1");
    loop.advance(std::chrono::milliseconds(1500));
    tellSums();
    recorder.expectGolden("steady-session");
}

// The engine dies in mid-answer. Another engine goes on from the word that the shop has; the shop sees one answer, and
// one bill counts the words of both.
TEST_F(GoldenSession, engineDeath_midAnswer_isContinuedOnOneBill)
{
    agent(1).setAnswer({"three", " blinds"});
    agent(1).dieAfter(1);
    agent(2).setAnswer({" blinds"});
    recorder.tells("The shop asks for a quote; the engine dies after its first word.");
    call(kChat, chat("how many?"));
    loop.advance(std::chrono::milliseconds(100));
    tellSums();
    recorder.expectGolden("engine-death-continued");
}
