//! The derives that most data types of the workspace share, as one attribute.
//!
//! `#[data]` stands for `Clone`, `Debug`, `PartialEq`, `serde::Serialize` and
//! `serde::Deserialize`. Further derives are named in parentheses:
//!
//! ```
//! use cw_macro::data;
//!
//! /// A point on a grid.
//! #[data(Copy, Eq, Hash)]
//! struct Point {
//!     x: u32,
//!     y: u32,
//! }
//!
//! let point = Point { x: 1, y: 2 };
//! let copy = point;
//! assert_eq!(point, copy);
//! ```

use proc_macro::TokenStream;

/// Derives the common set of traits, and those named in the arguments.
///
/// # Panics
///
/// Panics at compile time when the arguments are not a list of paths.
#[proc_macro_attribute]
pub fn data(args: TokenStream, item: TokenStream) -> TokenStream {
    let derives = format!(
        "#[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize, {args})]"
    );
    let mut out: TokenStream = derives.parse().expect("the arguments are derive paths");
    out.extend(item);
    out
}
