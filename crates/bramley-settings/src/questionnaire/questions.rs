//! The questions with their help.

/// What may be answered to a question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// A name of lower-case letters, digits, `-` and `_`.
    Name,
    /// Names separated by blanks; none where the question has an empty default.
    NameList,
    /// A whole number.
    Number {
        /// Least number.
        least: u32,
        /// Largest number.
        most: u32,
    },
    /// `yes` or `no`.
    YesNo,
}

/// One question.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Question {
    /// Place of the answer in the answers file; `[]` stands for each entry of a list.
    pub field: &'static str,
    /// The question itself.
    pub prompt: &'static str,
    /// What the answer is used for, and how to find it.
    pub help: &'static str,
    /// What may be answered.
    pub kind: AnswerKind,
    /// Answer taken for an empty line, if any.
    pub default: Option<&'static str>,
}

const fn number(least: u32, most: u32) -> AnswerKind {
    AnswerKind::Number { least, most }
}

/// All questions, in the order in which an interview asks them.
pub const QUESTIONS: &[Question] = &[
    Question {
        field: "deployment",
        prompt: "What is the deployment called?",
        help: "Names the deployment in logs and metrics, such as `landesamt`.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "regions[].name",
        prompt: "What is the region called?",
        help: "A region holds failure domains that are close to each other.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "regions[].failure_domains",
        prompt: "Which failure domains lie in the region?",
        help: "Names separated by blanks. Each failure domain has entry hosts and workers of its \
               own and can be cut off from the others. Use the names of the platform's list.",
        kind: AnswerKind::NameList,
        default: None,
    },
    Question {
        field: "workers.count",
        prompt: "How many workers are there in all failure domains together?",
        help: "Limits of the teams are checked against the capacity of all workers.",
        kind: number(1, 100_000),
        default: None,
    },
    Question {
        field: "workers.slots",
        prompt: "How many tasks does one worker run at once?",
        help: "The number of slots that the platform gives for each worker.",
        kind: number(1, 4_096),
        default: Some("8"),
    },
    Question {
        field: "workers.connections",
        prompt: "How many connections does one worker accept?",
        help: "The entry hosts share them; there must be at least one for each slot.",
        kind: number(1, 65_535),
        default: Some("60"),
    },
    Question {
        field: "workers.memory_gib",
        prompt: "How much memory has the largest worker, in gibibytes?",
        help: "A task that needs more can never run.",
        kind: number(1, 65_536),
        default: Some("64"),
    },
    Question {
        field: "workers.accelerators",
        prompt: "How many accelerators has the largest worker?",
        help: "A task that needs more can never run.",
        kind: number(0, 1_024),
        default: Some("0"),
    },
    Question {
        field: "teams[].name",
        prompt: "What is the team called?",
        help: "Callers name their team when they take tickets.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "teams[].weight",
        prompt: "What weight has the team against others when all are busy?",
        help: "A team of weight 2 gets twice the share of a team of weight 1.",
        kind: number(1, 1_000),
        default: Some("1"),
    },
    Question {
        field: "teams[].max_slots_percent",
        prompt: "Which part of all slots may the team use at once, in percent?",
        help: "Its quota of running tasks. A team alone in its deployment may use 100.",
        kind: number(1, 100),
        default: Some("100"),
    },
    Question {
        field: "teams[].failure_domains",
        prompt: "In which failure domains may the tasks of the team run?",
        help: "Names separated by blanks. An empty answer allows all of them.",
        kind: AnswerKind::NameList,
        default: Some(""),
    },
    Question {
        field: "teams[].work[].name",
        prompt: "What is the kind of work called?",
        help: "The task class under which run times are learned, such as `holds`.",
        kind: AnswerKind::Name,
        default: None,
    },
    Question {
        field: "teams[].work[].typical_run_ms",
        prompt: "How long does one task usually run, in milliseconds?",
        help: "A first guess; the system learns the run times that it sees.",
        kind: number(1, 600_000),
        default: None,
    },
    Question {
        field: "teams[].work[].answer_within_ms",
        prompt: "After which time is the answer of no use, in milliseconds?",
        help: "A job that can't be answered by then is refused at once, and none is started later.",
        kind: number(1, 3_600_000),
        default: None,
    },
    Question {
        field: "teams[].work[].largest_job_tasks",
        prompt: "How many tasks has the largest job?",
        help: "Larger jobs are refused.",
        kind: number(1, 10_000),
        default: Some("1"),
    },
    Question {
        field: "teams[].work[].idempotent",
        prompt: "May a task be run more than once without harm?",
        help: "Answer `yes` only for reads such as a balance check. A charge or a booking is `no`: \
               it is never sent again unless it is proved that it did not run.",
        kind: AnswerKind::YesNo,
        default: Some("no"),
    },
    Question {
        field: "teams[].work[].memory_mib",
        prompt: "How much memory does a task need, in mebibytes?",
        help: "0 if unknown.",
        kind: number(0, 67_108_864),
        default: Some("0"),
    },
    Question {
        field: "teams[].work[].accelerators",
        prompt: "How many accelerators does a task need?",
        help: "0 for work on processors alone.",
        kind: number(0, 1_024),
        default: Some("0"),
    },
];
