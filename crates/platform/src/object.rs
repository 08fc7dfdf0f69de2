//! Objects and their versions.

/// Version of an object; strictly rising over the whole store.
pub type Revision = u64;

/// One object.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Object {
    /// Name, with a prefix for its kind.
    pub name: String,
    /// Version of this content.
    pub revision: Revision,
    /// Content.
    pub value: String,
}

/// Objects under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Listing {
    /// Newest version in the store when the listing was made.
    pub revision: Revision,
    /// The objects.
    pub objects: Vec<Object>,
}

/// What a put expects to replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// No object of that name.
    Absent,
    /// The object at this version.
    At(Revision),
}

/// What came of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stored {
    /// Stored under this version.
    Done(Revision),
    /// Refused: the object isn't at the expected version.
    Conflict,
}
