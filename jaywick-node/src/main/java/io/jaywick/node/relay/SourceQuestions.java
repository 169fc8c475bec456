package io.jaywick.node.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.jaywick.core.message.Busy;
import io.jaywick.core.message.Message;
import io.jaywick.core.message.SourceQuery;
import io.jaywick.core.message.SourceState;
import io.jaywick.core.message.UpToDate;

/**
 * The questions of the nodes that follow this one. Each is answered when there is news, at the end of its wait, or at
 * once when this node is not in touch with the source or leaves, so that the asking node goes elsewhere.
 */
final class SourceQuestions {

    /** Memory bound; a node is followed by a few tens at most. */
    private static final int MAX_WAITING = 1_024;

    /** A longer wait is answered earlier. */
    private static final long MAX_WAIT_MILLIS = 10_000;

    /** When a node that is not in touch may be asked again. */
    private static final long ASK_AGAIN_MILLIS = 1_000;

    private static final UpToDate NOTHING = new UpToDate(0, "");

    private final SourceStateProvider known;
    private final DelayedTasks tasks;
    private final List<Question> waiting = new ArrayList<>();
    private boolean leaving;

    private static final class Question {
        private final SourceQuery query;
        private final CompletableFuture<Message> reply = new CompletableFuture<>();
        private Runnable cancelTimer;

        Question(SourceQuery query) {
            this.query = query;
        }
    }

    SourceQuestions(SourceStateProvider known, DelayedTasks tasks) {
        this.known = known;
        this.tasks = tasks;
    }

    CompletableFuture<Message> ask(SourceQuery query) {
        SourceState newer = known.newerThan(query);
        if (newer != null) {
            return CompletableFuture.completedFuture(newer);
        }
        if (query.waitMillis() <= 0) {
            return CompletableFuture.completedFuture(NOTHING);
        }
        if (leaving || !known.isSourceReachable() || waiting.size() >= MAX_WAITING) {
            return CompletableFuture.completedFuture(new Busy(ASK_AGAIN_MILLIS));
        }
        Question question = new Question(query);
        waiting.add(question);
        question.cancelTimer =
                tasks.runLater(() -> end(question, NOTHING), Math.min(query.waitMillis(), MAX_WAIT_MILLIS));
        return question.reply;
    }

    private void end(Question question, Message answer) {
        if (waiting.remove(question)) {
            question.cancelTimer.run();
            question.reply.complete(answer);
        }
    }

    /** Answers the questions to which there is news now. */
    void changed() {
        for (Question question : List.copyOf(waiting)) {
            SourceState newer = known.newerThan(question.query);
            if (newer != null) {
                end(question, newer);
            }
        }
    }

    /** This node is no longer in touch with the source. */
    void lost() {
        for (Question question : List.copyOf(waiting)) {
            end(question, new Busy(ASK_AGAIN_MILLIS));
        }
    }

    /** This node ends soon; its followers go elsewhere. */
    void leave() {
        leaving = true;
        lost();
    }
}
