import asyncio
import math

from agatepick.bench import bench_arrivals
from agatepick.bench import bench_callers
from agatepick.bench import bench_upstream
from agatepick.bench import bench_violations
from agatepick.standins import standin_upstream
from agatepick import types

KEY = '01900000-0000-7000-8000-000000000000'


def test_a_worker_records_each_start_and_answers_with_the_tasks_key(
    clock,
):
    async def main():
        recorder = bench_upstream.StartRecorder(clock)
        faults = standin_upstream.Faults()
        worker = bench_upstream.Worker(3, 'talca', recorder, faults)
        ended = asyncio.Event()
        answers = []

        def done(state, body, reason):
            answers.append((state, body))
            ended.set()

        clock.instant += 2.0
        worker.start((KEY, 1), b'{"seconds": 0.0}', done)
        worker.start((KEY, 1), b'{"seconds": 60.0}', done)
        clock.instant += 1.0
        await ended.wait()
        return recorder.runs, answers

    (first, second), answers = asyncio.run(main())
    assert (first.task, first.worker, first.zone) == ('t1', 3, 'talca')
    assert (first.start, first.end) == (2.0, 3.0)
    assert second.end == math.inf
    body = bench_violations.make_expected_body(KEY, 't1')
    assert answers == [(types.TaskState.FINISHED, body)]


def test_answers_and_problem_documents_are_parsed():
    answer = bench_callers.read_answer(
        b'{"job":"k","run":"failed","tasks":[{"id":"t0","outcome":"unknown"},'
        b'{"id":"t1","outcome":"finished","body":{"a": 1}}]}',
        502,
        'k',
    )
    assert answer.status is types.JobStatus.FAILED
    assert [task.outcome for task in answer.tasks] == ['unknown', 'finished']
    assert answer.tasks[1].body == b'{"a": 1}'
    refusal = b'{"status":503,"run":"not_run","code":"overload"}'
    assert bench_callers.read_answer(refusal, 503, 'k').key == 'k'
    assert bench_callers.read_answer(b'<html>', 502, 'k') is None


def test_a_jobs_body_contains_each_tasks_run_time():
    tasks = (bench_arrivals.TaskPlan('short', 0.25, 0.5),)
    body = bench_callers.encode_job(bench_arrivals.JobPlan(0, 0.0, 't', tasks))
    assert b'"payload":{"seconds":0.25,"fail":false}' in body
    assert b'"expected_seconds":0.5' in body
